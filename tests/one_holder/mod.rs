//! The rule that one VM at a time performs a duty, checked on the calls that the platform received.

use std::collections::HashMap;
use std::fmt::Debug;
use std::hash::Hash;
use std::time::Duration;

use kitepulley::unit::Fence;

/// A call that reached the platform.
#[derive(Clone, Copy, Debug)]
pub struct Call<H> {
    /// Time of its arrival, from any start.
    pub at: Duration,
    /// The VM that sent it.
    pub holder: H,
    /// Its fencing token.
    pub fence: Fence,
}

/// Returns a sentence on the first call, in the order of arrival, that breaks the rule: a token is
/// used by two VMs, a token falls, or a VM acts again within a lease after another did.
pub fn broken_rule<H: Clone + Debug + Eq + Hash>(
    calls: &[Call<H>],
    lease: Duration,
) -> Option<String> {
    let mut holders: HashMap<Fence, H> = HashMap::new();
    let mut highest = Fence::default();
    for (at, call) in calls.iter().enumerate() {
        if *holders.entry(call.fence).or_insert_with(|| call.holder.clone()) != call.holder {
            return Some(format!("two VMs used one token: {call:?}"));
        }
        if call.fence < highest {
            return Some(format!("a token fell: {call:?}"));
        }
        highest = call.fence;
        let recent = calls[..at].iter().rev().take_while(|earlier| call.at - earlier.at < lease);
        let mut others = recent.skip_while(|earlier| earlier.holder == call.holder);
        if others.any(|earlier| earlier.holder == call.holder) {
            return Some(format!("a VM acted again within a lease after another: {call:?}"));
        }
    }
    None
}
