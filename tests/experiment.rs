//! Experiments that measure a promise keep it, with few seeds.

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

/// Contents that crash servers, at 23 and 84 VMs, none or a tenth cut off: the way of the server keeps the rule on every seed, loses a
/// fraction of what is lost without it, and refuses few innocent requests.
#[test]
fn contents_that_crash_servers_are_held_back_at_any_size() {
    let table = table("poison", 2, "23,84");
    assert_eq!(table.rows.len(), 16);
    for rows in table.rows.chunks(4) {
        let of = |at: usize, field: &str| rows[at].get(field).expect("a figure");
        let (nothing, told) = (0, 2);
        assert!(of(nothing, "late retries worst") > 3.0, "the world shows the fault");
        assert!(of(told, "late retries worst") <= 3.0);
        assert!(of(told, "lost median") * 2.0 < of(nothing, "lost median"));
        assert!(of(told, "innocent refused in a million") < 40_000.0);
        assert!(of(told, "bytes/s a VM") < 2_000.0, "the users' bound for control");
    }
}

/// Limits of servers, at 23 VMs, callers at all of them and at a quarter, none or a tenth cut off: the way of the server keeps the users' rule on every
/// seed and uses most of what is allowed where callers are at all VMs; the ways of one VM alone do not keep it.
#[test]
fn limits_of_servers_are_kept_by_all_vms_together_and_used() {
    let table = table("bound", 3, "23");
    assert_eq!(table.rows.len(), 28);
    for (at, rows) in table.rows.chunks(7).enumerate() {
        let of = |way: usize, field: &str| rows[way].get(field).expect("a figure");
        let (unheeded, alone, senders) = (0, 1, 4);
        assert!(of(unheeded, "of rule worst") > 1.0, "the world shows the fault");
        assert!(of(alone, "of rule worst") > 1.0);
        assert!(of(senders, "of rule worst") <= 1.0);
        let callers_at_all = at < 2;
        assert!(!callers_at_all || of(senders, "used") >= 0.8);
    }
}
