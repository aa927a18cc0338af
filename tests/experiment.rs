//! Guarantees that experiments measure, checked with few seeds.

use kitepulley::cli;
use kitepulley::experiment::{Options, Table, run};

fn table(name: &str, runs: u64, vms: &str) -> Table {
    let flags = cli::Experiment {
        runs: Some(runs.to_string()),
        vms: Some(vms.to_owned()),
        ..cli::Experiment::default()
    };
    run(name, &Options::check(&flags).expect("valid flags")).expect("the experiment runs")
}

/// With crashing contents or parts of prompts, 23 and 84 VMs, and none or a tenth of the VMs cut off, the router's
/// strategy keeps the limit on late retries on every seed, loses less than half of the servers
/// lost without it, and refuses few innocent requests.
#[test]
fn contents_that_crash_servers_are_held_back_at_any_size() {
    let table = table("poison", 2, "23,84");
    assert_eq!(table.rows.len(), 28);
    for rows in table.rows.chunks(7) {
        let of = |row: usize, field: &str| rows[row].get(field).expect("a figure");
        let (unprotected, shared) = (0, 2);
        assert!(of(unprotected, "late retries worst") > 3.0, "the simulation shows the fault");
        assert!(of(shared, "late retries worst") <= 3.0);
        assert!(of(shared, "lost median") * 2.0 < of(unprotected, "lost median"));
        assert!(of(shared, "innocent refused in a million") < 40_000.0);
        assert!(of(shared, "bytes/s a VM") < 2_000.0, "the users' limit for control traffic");
        let (contents, fingerprints) = (4, 6);
        assert!(of(contents, "late retries worst") > 3.0, "the simulation shows the fault");
        assert!(of(fingerprints, "late retries worst") <= 3.0);
        assert!(of(fingerprints, "lost median") * 2.0 < of(contents, "lost median"));
        assert!(of(fingerprints, "innocent refused in a million") < 40_000.0);
        assert!(of(fingerprints, "bytes/s a VM") < 2_000.0);
    }
}

/// With rate limits of servers, 23 VMs, callers at all VMs or at a quarter, and none or a tenth of
/// the VMs cut off, the router's strategy keeps the users' rule on every seed and uses most of the
/// allowed rate where callers are at all VMs. Limits that each VM applies alone exceed the rule.
#[test]
fn limits_of_servers_are_kept_by_all_vms_together_and_used() {
    let table = table("bound", 3, "23");
    assert_eq!(table.rows.len(), 28);
    for (at, rows) in table.rows.chunks(7).enumerate() {
        let of = |row: usize, field: &str| rows[row].get(field).expect("a figure");
        let (unlimited, per_vm, few_senders) = (0, 1, 4);
        assert!(of(unlimited, "of rule worst") > 1.0, "the simulation shows the fault");
        assert!(of(per_vm, "of rule worst") > 1.0);
        assert!(of(few_senders, "of rule worst") <= 1.0);
        let callers_at_all = at < 2;
        assert!(!callers_at_all || of(few_senders, "used") >= 0.8);
    }
}
