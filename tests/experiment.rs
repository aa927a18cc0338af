//! Experiments that simulate a promise show, with few seeds, that it holds.

use kitepulley::cli;
use kitepulley::experiment::{Options, Table, run};

fn table(name: &str, runs: u64, vms: &str) -> Table {
    let flags = cli::Experiment {
        runs: Some(runs.to_string()),
        vms: Some(vms.to_owned()),
        ..cli::Experiment::default()
    };
    run(name, &Options::check(&flags).expect("sound flags")).expect("an experiment")
}

/// Simulates requests whose content crashes servers, at 23 and 84 VMs, with none or a tenth of the
/// VMs partitioned. The rule that the VMs use keeps the limit of late retries on every seed, loses
/// less than half of what is lost without it, and refuses few innocent requests.
#[test]
fn contents_that_crash_servers_are_held_back_at_any_size() {
    let table = table("poison", 2, "23,84");
    assert_eq!(table.rows.len(), 16);
    for rows in table.rows.chunks(4) {
        let of = |at: usize, field: &str| rows[at].get(field).expect("a figure");
        let (no_rule, shared) = (0, 2);
        assert!(of(no_rule, "late retries worst") > 3.0, "the simulation shows the fault");
        assert!(of(shared, "late retries worst") <= 3.0);
        assert!(of(shared, "lost median") * 2.0 < of(no_rule, "lost median"));
        assert!(of(shared, "innocent refused in a million") < 40_000.0);
        assert!(of(shared, "bytes/s a VM") < 2_000.0, "the users' limit on control traffic");
    }
}

/// Simulates rate limits of servers at 23 VMs, with callers at all VMs or at a quarter, and none or
/// a tenth of the VMs partitioned. The rule that the VMs use keeps the limit on every seed and
/// uses at least 80% of it where callers are at all VMs. VMs that ignore the limit, or that each
/// enforce it alone, exceed it.
#[test]
fn limits_of_servers_are_kept_by_all_vms_together_and_used() {
    let table = table("bound", 3, "23");
    assert_eq!(table.rows.len(), 28);
    for (at, rows) in table.rows.chunks(7).enumerate() {
        let of = |rule: usize, field: &str| rows[rule].get(field).expect("a figure");
        let (ignored, alone, senders) = (0, 1, 4);
        assert!(of(ignored, "of rule worst") > 1.0, "the simulation shows the fault");
        assert!(of(alone, "of rule worst") > 1.0);
        assert!(of(senders, "of rule worst") <= 1.0);
        let callers_at_all = at < 2;
        assert!(!callers_at_all || of(senders, "used") >= 0.8);
    }
}
