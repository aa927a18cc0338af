//! Stand-in of the service that rates answers, some time after they were given to it.

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

/// An answer to rate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sample {
    /// The VM that wants the rating.
    pub vm: Vm,
    /// The request.
    pub request: RequestId,
    /// The answer.
    pub answer: String,
}

/// A rating.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// The request.
    pub request: RequestId,
    /// Whether the answer passes.
    pub pass: bool,
}

/// The stand-in.
#[derive(Clone)]
pub struct Rater {
    lag: Duration,
    waiting: Arc<Mutex<VecDeque<(Instant, Sample)>>>,
    silent: Arc<Mutex<bool>>,
}

impl Rater {
    /// A service that rates after `lag`.
    pub fn new(lag: Duration) -> Rater {
        Rater { lag, waiting: Arc::default(), silent: Arc::default() }
    }

    /// Makes ratings stop, or come again.
    pub fn set_silent(&self, silent: bool) {
        *self.silent.lock().expect("no panic while held") = silent;
    }

    /// Serves at `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn launch(&self, address: SocketAddr) -> Result<Instance, Error> {
        let rater = self.clone();
        launch(address, move |app: &mut ServiceConfig| {
            app.app_data(Data::new(rater.clone()))
                .route("/samples", web::post().to(take))
                .route("/ratings", web::get().to(give));
        })
    }
}

async fn take(rater: Data<Rater>, samples: Json<Vec<Sample>>) -> HttpResponse {
    let now = Instant::now();
    let mut waiting = rater.waiting.lock().expect("no panic while held");
    waiting.extend(samples.into_inner().into_iter().map(|sample| (now, sample)));
    HttpResponse::Ok().finish()
}

#[derive(Deserialize)]
struct RatingQuery {
    vm: Vm,
}

async fn give(rater: Data<Rater>, query: Query<RatingQuery>) -> HttpResponse {
    if *rater.silent.lock().expect("no panic while held") {
        return HttpResponse::Ok().json(Vec::<Rating>::new());
    }
    let now = Instant::now();
    let mut waiting = rater.waiting.lock().expect("no panic while held");
    let mut ready = Vec::new();
    waiting.retain(|(at, sample)| {
        let due = now.duration_since(*at) >= rater.lag && sample.vm == query.vm;
        if due {
            let pass = !sample.answer.contains(text::POOR);
            ready.push(Rating { request: sample.request.clone(), pass });
        }
        !due
    });
    HttpResponse::Ok().json(ready)
}
