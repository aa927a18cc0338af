//! Client of the service that rates answers.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;

use crate::standin::rating::{Rating, Sample};
use crate::unit::Vm;

/// A call that takes longer is given up.
const CALL_WITHIN: Duration = Duration::from_millis(1500);

/// A client for one thread.
#[derive(Clone)]
pub struct RatingClient {
    address: SocketAddr,
    client: Client,
}

impl RatingClient {
    /// A client of the service at `address`.
    pub fn new(address: SocketAddr) -> RatingClient {
        RatingClient { address, client: Client::builder().timeout(CALL_WITHIN).finish() }
    }

    /// Gives answers to rate; whether they were taken.
    pub async fn submit(&self, samples: &[Sample]) -> bool {
        let url = format!("http://{}/samples", self.address);
        let sent = self.client.post(url).send_json(&samples).await;
        sent.is_ok_and(|answer| answer.status().is_success())
    }

    /// Ratings that are ready for a VM; nothing if the service does not answer.
    pub async fn fetch(&self, vm: &Vm) -> Vec<Rating> {
        let url = format!("http://{}/ratings?vm={vm}", self.address);
        match self.client.get(url).send().await {
            Ok(mut answer) => answer.json().await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }
}
