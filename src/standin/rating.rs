//! Stand-in for the rating service, which rates submitted answers after a delay.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{Data, Json, Query, ServiceConfig};
use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};

use super::{Instance, launch, text};
use crate::error::Error;
use crate::unit::{RequestId, Vm};

/// An answer that is submitted for rating.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sample {
    /// VM that submits the answer and fetches its rating.
    pub vm: Vm,
    /// Request that was answered.
    pub request: RequestId,
    /// Text of the answer.
    pub answer: String,
}

/// The rating of one answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// Request that was answered.
    pub request: RequestId,
    /// True if the answer is good enough.
    #[serde(rename = "pass")]
    pub is_good: bool,
}

/// The rating service; clones share its state.
#[derive(Clone)]
pub struct Rater {
    lag: Duration,
    waiting: Arc<Mutex<VecDeque<(Instant, Sample)>>>,
    silent: Arc<Mutex<bool>>,
}

impl Rater {
    /// Returns a service that rates an answer `lag` after its submission.
    pub fn new(lag: Duration) -> Rater {
        Rater { lag, waiting: Arc::default(), silent: Arc::default() }
    }

    /// Withholds ratings while `silent` is true; they become available afterwards.
    pub fn set_silent(&self, silent: bool) {
        *self.silent.lock().expect("no panic while held") = silent;
    }

    /// Starts the HTTP server on `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn launch(&self, address: SocketAddr) -> Result<Instance, Error> {
        let rater = self.clone();
        launch(address, move |app: &mut ServiceConfig| {
            app.app_data(Data::new(rater.clone()))
                .route("/samples", web::post().to(submit_samples))
                .route("/ratings", web::get().to(fetch_ratings));
        })
    }
}

async fn submit_samples(rater: Data<Rater>, samples: Json<Vec<Sample>>) -> HttpResponse {
    let now = Instant::now();
    let mut waiting = rater.waiting.lock().expect("no panic while held");
    waiting.extend(samples.into_inner().into_iter().map(|sample| (now, sample)));
    HttpResponse::Ok().finish()
}

#[derive(Deserialize)]
struct RatingQuery {
    vm: Vm,
}

async fn fetch_ratings(rater: Data<Rater>, query: Query<RatingQuery>) -> HttpResponse {
    if *rater.silent.lock().expect("no panic while held") {
        return HttpResponse::Ok().json(Vec::<Rating>::new());
    }
    let now = Instant::now();
    let mut waiting = rater.waiting.lock().expect("no panic while held");
    let mut ready = Vec::new();
    waiting.retain(|(at, sample)| {
        let due = now.duration_since(*at) >= rater.lag && sample.vm == query.vm;
        if due {
            let is_good = !sample.answer.contains(text::POOR);
            ready.push(Rating { request: sample.request.clone(), is_good });
        }
        !due
    });
    HttpResponse::Ok().json(ready)
}
