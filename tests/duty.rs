//! Usage reports of real processes: every window is reported once, with the counts of all VMs,
//! whoever reports it and whatever happens to the holder of the duty.

mod one_holder;
mod site;

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kitepulley::standin::platform::{Switches, UsageReport};
use kitepulley::unit::Fence;
use one_holder::{Call, broken_rule};
use serde_json::json;
use site::{Site, Vm, are_ready, ask, eventually, follows, head};

/// Length of a reporting window, and time until its report is due.
const WINDOW: Duration = Duration::from_secs(1);
const DUE_AFTER: Duration = Duration::from_secs(4);

const LEASE_MS: u64 = 2000;

const WORKSPACES: [&str; 2] = ["harbour", "mill"];

fn site() -> Site {
    let mut site = Site::new()
        .route("safe", "idempotent", json!({}))
        .workspace(WORKSPACES[0], &["key-harbour"])
        .workspace(WORKSPACES[1], &["key-mill"]);
    site.bounds["revoke_ms"] = json!(5000);
    site.bounds["lease_ms"] = json!(LEASE_MS);
    site.bounds["report_window_s"] = json!(WINDOW.as_secs());
    site.bounds["usage_late_s"] = json!(DUE_AFTER.as_secs());
    site.settings = json!({"cloud": {
        "address": site.store_server.address.to_string(),
        "duties": ["usage_report", "autoscale"], "duty_per_s": 50.0,
    }});
    site.publish();
    site
}

fn start(site: &Site, count: usize) -> Vec<Vm> {
    let vms: Vec<Vm> = (0..count).map(|_| site.start()).collect();
    are_ready(&vms);
    eventually("one VM reads for all", || vms.iter().filter(|vm| !follows(vm)).count() == 1);
    vms
}

/// Returns the present window.
fn window_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs() / WINDOW.as_secs()
}

/// Waits until the middle of the next window, so that counts do not straddle two windows.
fn next_window() -> u64 {
    let now = window_now();
    while window_now() == now {
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(WINDOW / 4);
    window_now()
}

/// Sends requests of each workspace to each VM, and returns how many each workspace sent.
fn send_requests(vms: &[Vm], each: usize) -> u64 {
    let mut sent = 0;
    for (vm, at) in vms.iter().zip(0..) {
        for number in 0..each {
            for workspace in WORKSPACES {
                let id = format!("{workspace}-{at}-{number}-{}", window_now());
                let key = format!("Authorization: Token key-{workspace}\r\n");
                let answer = ask(vm.callers, &head("GET /safe/x", &id, &key), b"");
                assert_eq!(answer.status, 200, "{}", vm.log_end());
            }
            sent += 1;
        }
    }
    sent
}

/// Waits for the report on a window.
fn report(site: &Site, window: u64) -> UsageReport {
    let mut found = None;
    eventually(&format!("a report on window {window}"), || {
        found = site.store.usage_reports().into_iter().find(|one| one.window == window);
        found.is_some()
    });
    found.expect("just found")
}

fn assert_counts(site: &Site, window: u64, sent: u64, logs: &[Vm]) {
    let report = report(site, window);
    for workspace in WORKSPACES {
        let logs = || logs.iter().map(Vm::log_end).collect::<String>();
        assert_eq!(report.count(workspace), sent, "{workspace} in {window}\n{}", logs());
    }
}

/// Checks all reports so far: no two of one window differ, and one VM at a time sent them.
fn assert_one_holder(site: &Site) {
    let reports = site.store.usage_reports();
    let mut bodies: BTreeMap<u64, String> = BTreeMap::new();
    for report in &reports {
        let body = bodies.entry(report.window).or_insert(report.body.clone());
        assert_eq!(*body, report.body, "two reports of one window differ");
    }
    let call = |report: &UsageReport| Call {
        at: report.received_at - reports[0].received_at,
        holder: report.holder.clone(),
        fence: Fence(report.fence),
    };
    let calls: Vec<Call<String>> = reports.iter().map(call).collect();
    assert_eq!(broken_rule(&calls, Duration::from_millis(LEASE_MS)), None);
}

/// Returns the index of the VM that sent the last report.
fn holder(site: &Site, vms: &[Vm]) -> usize {
    eventually("a report", || !site.store.usage_reports().is_empty());
    let last = site.store.usage_reports().last().cloned().expect("just seen");
    vms.iter().position(|vm| vm.name == last.holder).expect("the holder is a VM of the site")
}

/// Kills the VM that sent the last report.
fn kill_holder(site: &Site, vms: &mut Vec<Vm>) {
    vms.remove(holder(site, vms)).kill();
}

/// Waits for two more reports; the first may have been on its way from the holder so far.
fn another_vm_reports(site: &Site) {
    let before = site.store.usage_reports().len();
    eventually("another VM reports", || site.store.usage_reports().len() > before + 1);
}

#[test]
fn each_window_is_reported_with_the_counts_of_all_vms() {
    let site = site();
    site.replica("r1", "v1");
    let vms = start(&site, 3);
    let busy = next_window();
    let sent = send_requests(&vms, 4);
    assert_eq!(window_now(), busy, "the requests took longer than a window");
    assert_counts(&site, busy, sent, &vms);
    let idle = next_window();
    assert_counts(&site, idle, 0, &vms);
    let windows: HashSet<u64> = site.store.usage_reports().iter().map(|one| one.window).collect();
    assert!((busy..=idle).all(|window| windows.contains(&window)), "{windows:?}");
    let report = report(&site, busy);
    let ended = Duration::from_secs(busy + 1);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let received = now - report.received_at.elapsed();
    assert!(received < ended + DUE_AFTER, "reported {:?} after its end", received - ended);
    assert_one_holder(&site);
}

#[test]
fn a_killed_holder_is_succeeded_and_its_counts_are_kept() {
    let site = site();
    site.replica("r1", "v1");
    let mut vms = start(&site, 3);
    let at = holder(&site, &vms);
    let first = site.store.usage_reports().last().cloned().expect("the holder has reported");
    let busy = next_window();
    let sent = send_requests(&vms, 4);
    // The holder's own counts reach another VM within this time.
    std::thread::sleep(Duration::from_millis(1200));
    vms.remove(at).kill();
    assert_counts(&site, busy, sent, &vms);
    let last = report(&site, busy);
    assert!(last.fence > first.fence && last.holder != first.holder, "{first:?} {last:?}");
    assert_one_holder(&site);
}

#[test]
fn a_holder_that_sleeps_over_its_lease_sends_nothing_with_its_old_token() {
    let site = site();
    site.replica("r1", "v1");
    let vms = start(&site, 3);
    let at = holder(&site, &vms);
    vms[at].signal(libc::SIGSTOP);
    another_vm_reports(&site);
    vms[at].signal(libc::SIGCONT);
    std::thread::sleep(WINDOW * 3);
    assert_one_holder(&site);
    let busy = next_window();
    let sent = send_requests(&vms, 2);
    assert_counts(&site, busy, sent, &vms);
}

#[test]
fn windows_of_an_outage_are_reported_after_it() {
    let site = site();
    site.replica("r1", "v1");
    let vms = start(&site, 2);
    holder(&site, &vms);
    let busy = next_window();
    site.store.set_switches(Switches { duties_down: true, ..Switches::default() });
    let sent = send_requests(&vms, 3);
    std::thread::sleep(DUE_AFTER);
    assert!(site.store.usage_reports().iter().all(|one| one.window < busy));
    site.store.set_switches(Switches::default());
    assert_counts(&site, busy, sent, &vms);
    site.store.set_switches(Switches { is_down: true, ..Switches::default() });
    let busy = next_window();
    std::thread::sleep(DUE_AFTER);
    site.store.set_switches(Switches::default());
    report(&site, busy);
    assert_one_holder(&site);
}

#[test]
fn a_restored_store_repeats_no_token_and_no_window() {
    let site = site();
    site.replica("r1", "v1");
    let mut vms = start(&site, 3);
    holder(&site, &vms);
    let backup = site.store.snapshot();
    // Reports and a change of the holder that the backup lacks.
    std::thread::sleep(WINDOW * 2);
    kill_holder(&site, &mut vms);
    another_vm_reports(&site);
    site.store.restore(backup);
    kill_holder(&site, &mut vms);
    let before = Instant::now();
    let is_later = |one: &UsageReport| one.received_at > before;
    eventually("the last VM reports", || site.store.usage_reports().iter().any(is_later));
    std::thread::sleep(WINDOW * 2);
    assert_one_holder(&site);
}

#[test]
fn all_vms_are_killed_and_the_duty_goes_on() {
    let site = site();
    site.replica("r1", "v1");
    let mut vms = start(&site, 3);
    holder(&site, &vms);
    vms.iter_mut().for_each(Vm::kill);
    vms.iter_mut().for_each(Vm::start_again);
    are_ready(&vms);
    let busy = next_window();
    let sent = send_requests(&vms, 2);
    assert_counts(&site, busy, sent, &vms);
    assert_one_holder(&site);
}

#[test]
fn vms_without_duties_make_no_calls_for_them() {
    let mut site = site();
    site.settings = json!({});
    site.replica("r1", "v1");
    let vms = start(&site, 2);
    std::thread::sleep(DUE_AFTER);
    assert!(site.store.usage_reports().is_empty());
    for vm in &vms {
        assert_eq!(vm.counter(&["kitepulley_store_calls", "duty"]), 0.0);
    }
}
