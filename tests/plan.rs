//! Plans of the operator: what a withdrawal changes.

use kitepulley::config::{Change, Plan, Root, apply_plan};
use kitepulley::unit::{Date, Model, Revision, Target};

/// A root with `v4` in service and `v3` before it, after the withdrawal of a version.
fn withdraw(version: &str) -> Root {
    let model: Model = "roastmind".parse().unwrap();
    let mut root = Root::default();
    root.serving.insert(model.clone(), "v4".parse().unwrap());
    root.previous.insert(model, "v3".parse().unwrap());
    let target: Target = format!("roastmind@{version}").parse().unwrap();
    let change = Change::Withdraw { target, reason: String::new() };
    let plan = Plan::new(Revision(0), vec![change], Vec::new(), Vec::new());
    apply_plan(&root, &plan, "an operator", 1, Date(1)).unwrap()
}

fn in_service(root: &Root) -> &str {
    root.serving[&"roastmind".parse::<Model>().unwrap()].as_str()
}

#[test]
fn a_withdrawal_of_the_version_in_service_falls_back_on_the_one_before() {
    assert_eq!(in_service(&withdraw("v4")), "v3");
}

/// Guards against a withdrawal that moves all work to an earlier version, although the version in
/// service is not the one that was withdrawn.
#[test]
fn a_withdrawal_of_another_version_leaves_the_one_in_service() {
    let root = withdraw("v5");
    assert_eq!(in_service(&root), "v4");
    assert!(root.withdrawn.contains(&"roastmind@v5".parse().unwrap()));
}
