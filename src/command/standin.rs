//! `standin`: runs a stand-in for an external system until it is interrupted.

use std::collections::BTreeMap;

use super::block_on;
use crate::error::Error;
use crate::history::Sink;
use crate::options::{address, required, with_default};
use crate::standin::engine::{Behaviour, Engine, Profile};
use crate::standin::platform::{Platform, RATES};
use crate::standin::rating::Rater;
use crate::standin::service::Service;
use crate::unit::{Span, Target};
use crate::{cli, options};

/// Queue length of an engine, per slot.
const QUEUE_PER_SLOT: u32 = 4;

/// Processing time of a call to a service.
const SERVICE_CALL_TIME: Span = Span::millis(5);

/// Runs the stand-in that the flags name; SIGINT ends it.
pub fn run(flags: &cli::Standin) -> Result<(), Error> {
    let which = flags.which.as_deref().unwrap_or_default();
    if !["platform", "engine", "service", "rating"].contains(&which) {
        let accepted = "name platform, engine, service or rating.";
        return Err(Error::flag("standin", which, accepted));
    }
    let at = address("listen", flags.listen.as_ref())?;
    let lag: Span = with_default("lag", flags.lag.as_ref(), Span::millis(500))?;
    let running = match which {
        "platform" => Platform::new(RATES, Sink::default()).launch(at)?,
        "rating" => Rater::new(lag.duration()).launch(at)?,
        "service" => {
            let name = required("name", flags.name.as_ref())?;
            Service::new(name, SERVICE_CALL_TIME.duration(), Sink::default()).launch(at)?
        }
        _ => Engine::new(engine_profile(flags, lag)?, Sink::default()).launch(at)?,
    };
    eprintln!("The stand-in for the {which} listens on {}.", running.address);
    block_on(async {
        let _ = actix_web::rt::signal::ctrl_c().await;
    });
    Ok(())
}

fn engine_profile(flags: &cli::Standin, lag: Span) -> Result<Profile, Error> {
    let mut versions = BTreeMap::new();
    for part in options::list::<String>("versions", flags.versions.as_ref())? {
        let to_error = || Error::flag("--versions", &part, "write MODEL@VERSION=QUALITY,...");
        let (target, quality) = part.split_once('=').ok_or_else(to_error)?;
        let target: Target = target.parse().map_err(|_| to_error())?;
        let quality: f64 = quality.parse().map_err(|_| to_error())?;
        versions.insert(target, Behaviour { quality, errors: 0.0 });
    }
    let slots = with_default("slots", flags.slots.as_ref(), 16)?;
    let token_time: Span = with_default("token-time", flags.token_time.as_ref(), Span::millis(5))?;
    Ok(Profile {
        name: required("name", flags.name.as_ref())?,
        slots,
        queue: slots * QUEUE_PER_SLOT,
        first_us: token_time.0,
        token_us: token_time.0,
        lag_ms: lag.as_millis() as u64,
        checks_orders: true,
        loaded: versions.keys().cloned().collect(),
        versions,
    })
}
