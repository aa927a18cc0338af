//! Builder of histories for integration tests.

use kitepulley::history::{Event, Line, Ran};
use kitepulley::unit::{Date, Revision};

/// Builds a history of events, one second apart.
#[derive(Default)]
pub struct HistoryBuilder {
    lines: Vec<Line>,
    now: u64,
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

impl HistoryBuilder {
    /// Appends an event one second after the last.
    pub fn event(mut self, event: Event) -> HistoryBuilder {
        self.now += 1_000_000;
        self.lines.push(Line { at: Date(self.now), event });
        self
    }

    /// Advances the time without an event.
    pub fn advance_seconds(mut self, seconds: u64) -> HistoryBuilder {
        self.now += seconds * 1_000_000;
        self
    }

    /// Confirms a revision, which is adopted by the VM and accepted by all.
    pub fn revision(self, revision: u64, allowed: &[&str], withdrawn: &[&str]) -> HistoryBuilder {
        let targets = |list: &[&str]| list.iter().map(|target| name(target)).collect();
        let allowed = [(name("w"), targets(allowed))].into_iter().collect();
        let withdrawn = targets(withdrawn);
        let revision = Revision(revision);
        self.event(Event::Confirmed { revision, allowed, withdrawn })
            .event(Event::Adopted { vm: name("vm1"), incarnation: 1, revision })
            .event(Event::Accepted { revision })
    }

    /// Appends all events of a completed request: asked, started, ran, billed, answered.
    pub fn request(
        self,
        ask: u64,
        target: &str,
        revision: u64,
        talk: Option<u64>,
    ) -> HistoryBuilder {
        let id = format!("r{ask}");
        self.asked(ask, None, talk)
            .event(Event::Started {
                vm: name("vm1"),
                request: name(&id),
                revision: Revision(revision),
                target: Some(name(target)),
                server: name("e1"),
            })
            .ran(ask, target, "e1")
            .billed(ask)
            .answered(ask, Some(target), "d", None)
    }

    /// A caller sends a request.
    pub fn asked(self, ask: u64, key: Option<&str>, talk: Option<u64>) -> HistoryBuilder {
        self.event(Event::Asked { ask, workspace: name("w"), key: key.map(str::to_owned), talk })
    }

    /// An engine runs the request.
    pub fn ran(self, ask: u64, target: &str, server: &str) -> HistoryBuilder {
        self.event(Event::Ran {
            server: name(server),
            request: name(&format!("r{ask}")),
            workspace: name("w"),
            target: name(target),
            offset: 0,
            digest: "d".to_owned(),
        })
    }

    /// A service runs the request.
    pub fn served(self, ask: u64, key: &str) -> HistoryBuilder {
        self.event(Event::Served {
            server: name("s1"),
            request: name(&format!("r{ask}")),
            workspace: name("w"),
            key: Some(key.to_owned()),
            digest: "d".to_owned(),
        })
    }

    /// The store holds the bill of the request.
    pub fn billed(self, ask: u64) -> HistoryBuilder {
        self.event(Event::Billed {
            request: name(&format!("r{ask}")),
            workspace: name("w"),
            cost: 1,
        })
    }

    /// The caller gets a complete answer, or a refusal if `ran` is given.
    pub fn answered(
        self,
        ask: u64,
        target: Option<&str>,
        digest: &str,
        ran: Option<Ran>,
    ) -> HistoryBuilder {
        let whole = ran.is_none();
        self.event(Event::Answered {
            ask,
            request: Some(name(&format!("r{ask}"))),
            status: if whole { 200 } else { 503 },
            ran,
            is_complete: whole,
            digest: whole.then(|| digest.to_owned()),
            target: target.map(name),
            vm: Some(name("vm1")),
        })
    }

    /// The caller gets an answer that breaks off.
    pub fn cut(self, ask: u64) -> HistoryBuilder {
        self.event(Event::Answered {
            ask,
            request: Some(name(&format!("r{ask}"))),
            status: 200,
            ran: None,
            is_complete: false,
            digest: None,
            target: None,
            vm: Some(name("vm1")),
        })
    }

    /// A backend server announces that it drains.
    pub fn leaving(self, server: &str) -> HistoryBuilder {
        self.event(Event::Leaving { server: name(server) })
    }

    /// The VM begins a graceful shutdown.
    pub fn stopping(self) -> HistoryBuilder {
        self.event(Event::Stopping { vm: name("vm1") })
    }

    /// The VM adopts a revision.
    pub fn adopted(self, revision: u64) -> HistoryBuilder {
        let revision = Revision(revision);
        self.event(Event::Adopted { vm: name("vm1"), incarnation: 1, revision })
    }

    /// Returns the lines of the history.
    pub fn lines(self) -> Vec<Line> {
        self.lines
    }
}

/// Returns a history that breaks no promise and tests each of them.
pub fn clean() -> HistoryBuilder {
    HistoryBuilder::default()
        .revision(1, &["m@v1", "m@v2"], &[])
        .request(1, "m@v1", 1, Some(7))
        .request(2, "m@v1", 1, Some(7))
        .asked(3, Some("k"), None)
        .served(3, "k")
        .billed(3)
        .answered(3, None, "d", None)
        .revision(2, &["m@v1"], &["m@v2"])
        .request(4, "m@v1", 2, None)
        .asked(5, None, None)
        .answered(5, None, "", Some(Ran::No))
        .leaving("e9")
        .stopping()
        .request(6, "m@v1", 2, None)
}
