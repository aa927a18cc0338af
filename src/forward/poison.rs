//! Contents under which backend servers crash, as all VMs know them; [`crate::decide::poison`] decides.
//!
//! Each VM tells which contents were open at a server when it crashed. Few VMs tell all others. Of many, three gather what is known of
//! a content, the same for all VMs, so that a crash costs some messages and not one for each pair of VMs. Whoever finds that a
//! content is to be held back tells all: its neighbours at once, which pass it on, and those that it asks, or that ask it, for news.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::job::Job;
use super::peer::{self, Word};
use super::replica::Replica;
use super::vm::Vm;
pub use crate::decide::poison::Told;
use crate::decide::poison::{Broken, Change, Life};
use crate::unit::{Digest, Moment, Span};

/// Contents that are told at once, the newest; each is some 24 bytes.
const MOST_TOLD: usize = 100;

/// What VMs tell one another of contents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum News {
    /// A life of a server ended so long ago with these open.
    Ended {
        /// The life.
        life: Life,
        /// Its requests.
        broken: Vec<Broken>,
        /// How long ago.
        age: Span,
    },
    /// These are held back.
    Held(Vec<Told>),
    /// One that is suspected ran to a good end so long ago.
    RanWell {
        /// The content.
        content: Digest,
        /// How long ago.
        age: Span,
    },
}

/// Whether a request is not to be sent on, or not again.
pub fn holds_back(job: &Job) -> bool {
    let vm = &job.vm;
    vm.evidence.borrow().held(&job.content, vm.now()).is_some()
}

/// This life of a server has crashed with these requests of this VM open.
pub fn ended(vm: &Rc<Vm>, replica: &Replica, broken: Vec<Broken>) {
    let life = Life::new(replica.id.as_str(), replica.born);
    let now = vm.now();
    take_end(vm, life, &broken, now, None);
    let tell = |broken: &[Broken]| {
        let news = News::Ended { life, broken: broken.to_vec(), age: Span::default() };
        peer::tell_gatherers(vm, broken[0].content, &Word::Poison(news));
    };
    // Few VMs all hear of all.
    let at_once = if vm.peers.borrow().are_few() { broken.len() } else { 1 };
    broken.chunks(at_once.max(1)).for_each(tell);
}

/// A request ran to a good end, whole.
pub fn ran_well(vm: &Rc<Vm>, content: Digest) {
    let now = vm.now();
    let change = vm.evidence.borrow_mut().ran_well(content, now, now);
    if let Change::Cleared { was_held } = change {
        let news = News::RanWell { content, age: Span::default() };
        tell_cleared(vm, content, was_held, None);
        tell(vm, content, was_held, &news);
    }
}

/// Takes what another VM tells.
pub fn hear(vm: &Rc<Vm>, from: &str, news: News) {
    let now = vm.now();
    match news {
        News::Ended { life, broken, age } => {
            let at = Moment(now.0.saturating_sub(age.0));
            take_end(vm, life, &broken, at, Some(from));
            broken.iter().for_each(|one| speak_for(vm, one.content, false));
        }
        News::Held(told) => hear_held(vm, from, &told, now),
        News::RanWell { content, age } => {
            let at = Moment(now.0.saturating_sub(age.0));
            let change = vm.evidence.borrow_mut().ran_well(content, at, now);
            if let Change::Cleared { was_held } = change {
                tell_cleared(vm, content, was_held, Some(from));
                // Among many, those that hold it back hear of it from one another.
                if was_held && !vm.peers.borrow().are_few() {
                    peer::tell(vm, &Word::Poison(News::RanWell { content, age }));
                }
            }
        }
    }
}

/// Takes contents that another VM holds back, as old as they were at the moment `told_at`.
pub fn hear_held(vm: &Rc<Vm>, from: &str, told: &[Told], told_at: Moment) {
    let now = vm.now();
    for one in told {
        let last = Moment(told_at.0.saturating_sub(one.age.0));
        let change = vm.evidence.borrow_mut().told(one.content, one.ends, last, now);
        if change == Change::Held {
            log_held(vm, one.content, Some(from));
            // Among many it goes on to the neighbours of this VM.
            if !vm.peers.borrow().are_few() {
                tell_held(vm);
            }
        }
        speak_for(vm, one.content, true);
    }
}

/// What this VM holds back, for those that ask it, or that it asks.
pub fn held(vm: &Vm) -> Vec<Told> {
    vm.evidence.borrow().all_held(MOST_TOLD, vm.now())
}

/// A VM is heard for the first time, or again: it may have started a moment ago.
pub fn greet(vm: &Rc<Vm>, address: std::net::SocketAddr) {
    let held = held(vm);
    if !held.is_empty() {
        peer::say(vm, address, Word::Poison(News::Held(held)));
    }
}

/// Drops what is too old, and counts what is left.
pub fn sweep(vm: &Vm) {
    let mut evidence = vm.evidence.borrow_mut();
    let now = vm.now();
    evidence.expire(now);
    vm.metrics.suspects.set(evidence.len() as i64);
    vm.metrics.held.set(evidence.all_held(usize::MAX, now).len() as i64);
}

fn take_end(vm: &Rc<Vm>, life: Life, broken: &[Broken], at: Moment, from: Option<&str>) {
    let now = vm.now();
    let mut is_news = false;
    for one in broken {
        let change = vm.evidence.borrow_mut().ended(*one, life, at, now);
        if change == Change::Held {
            log_held(vm, one.content, from);
            is_news = true;
        }
    }
    if is_news {
        tell_held(vm);
    }
}

/// Tells the others what is held back.
fn tell_held(vm: &Rc<Vm>) {
    peer::tell(vm, &Word::Poison(News::Held(held(vm))));
}

/// Says that a content ran well here, if it did so of late and others suspect it.
fn speak_for(vm: &Rc<Vm>, content: Digest, is_held: bool) {
    let age = vm.evidence.borrow().sound_age(&content, vm.now());
    if let Some(age) = age {
        tell(vm, content, is_held, &News::RanWell { content, age });
    }
}

/// Tells those that gather what is known of a content, or all if it is held back.
fn tell(vm: &Rc<Vm>, content: Digest, is_held: bool, news: &News) {
    let word = Word::Poison(news.clone());
    if is_held {
        peer::tell(vm, &word);
    } else {
        peer::tell_gatherers(vm, content, &word);
    }
}

fn log_held(vm: &Vm, content: Digest, from: Option<&str>) {
    let content_text = content.to_string();
    let ends = vm.evidence.borrow().held(&content, vm.now()).unwrap_or_default();
    let fields = [
        ("content", content_text.as_str().into()),
        ("ends", ends.into()),
        ("from", from.unwrap_or("own").into()),
    ];
    vm.log("content held back", &fields);
}

fn tell_cleared(vm: &Vm, content: Digest, was_held: bool, from: Option<&str>) {
    if was_held {
        let content = content.to_string();
        let from = from.unwrap_or("own");
        vm.log(
            "content free again",
            &[("content", content.as_str().into()), ("from", from.into())],
        );
    }
}
