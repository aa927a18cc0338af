//! Client of the service that rates responses of models.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;

use crate::standin::rating::{Rating, Sample};
use crate::unit::Vm;

/// Timeout of a request to the rating service.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Client of the rating service, for one thread; clones share its connections.
#[derive(Clone)]
pub struct RatingClient {
    address: SocketAddr,
    client: Client,
}

impl RatingClient {
    /// Creates a client of the service at `address`.
    pub fn new(address: SocketAddr) -> RatingClient {
        RatingClient { address, client: Client::builder().timeout(REQUEST_TIMEOUT).finish() }
    }

    /// Submits samples to be rated. Returns true if the service accepted them.
    pub async fn submit(&self, samples: &[Sample]) -> bool {
        let url = format!("http://{}/samples", self.address);
        let result = self.client.post(url).send_json(&samples).await;
        result.is_ok_and(|response| response.status().is_success())
    }

    /// Returns the ratings that are ready for a VM, or none if the service does not respond.
    pub async fn fetch(&self, vm: &Vm) -> Vec<Rating> {
        let url = format!("http://{}/ratings?vm={vm}", self.address);
        match self.client.get(url).send().await {
            Ok(mut response) => response.json().await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }
}
