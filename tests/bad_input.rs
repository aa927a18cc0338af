//! Invalid input ends the program with one error sentence and the right exit code, before
//! anything is started.

use std::net::TcpListener;
use std::process::{Command, Output};

const SECRETS: [(&str, &str); 2] = [
    ("KITEPULLEY_FLEET_KEY", "a-fleet-key-of-tests"),
    ("KITEPULLEY_SESSION_KEYS", "k1:a-session-key-of-tests"),
];

fn kitepulley(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitepulley"));
    command.args(arguments).envs(SECRETS);
    command.output().expect("the program starts")
}

fn serve(extra: &[&str]) -> Output {
    let required = ["serve", "--vm", "vm1", "--data-centre", "dc1", "--platform", "127.0.0.1:1"];
    kitepulley(&[&required, extra].concat())
}

/// Asserts the exit code, and that standard error contains all `parts`.
fn assert_fails(output: &Output, code: i32, parts: &[&str]) {
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{text}");
    for part in parts {
        assert!(text.contains(part), "no `{part}` in: {text}");
    }
}

#[test]
fn an_unknown_flag_is_named() {
    assert_fails(&kitepulley(&["demo", "--sed", "1"]), 2, &["--sed", "--help"]);
}

#[test]
fn a_wrong_value_names_flag_value_and_what_is_accepted() {
    let output = serve(&["--listen", "localhost", "--peer", "127.0.0.1:0"]);
    assert_fails(&output, 2, &["--listen", "`localhost`"]);
    assert_fails(&kitepulley(&["demo", "--vms", "99"]), 2, &["--vms", "`99`", "2 to 32"]);
    assert_fails(&kitepulley(&["demo", "--faults", "gremlins"]), 2, &["`gremlins`", "store-down"]);
}

#[test]
fn flags_that_contradict_are_told_before_anything_starts() {
    let output = serve(&["--listen", "127.0.0.1:1", "--peer", "127.0.0.1:0"]);
    assert_fails(&output, 2, &["--platform and --listen"]);
}

#[test]
fn a_missing_secret_is_named_and_a_short_one_is_not_shown() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitepulley"));
    command.args(["serve", "--vm", "vm1", "--data-centre", "dc1", "--platform", "127.0.0.1:1"]);
    command.args(["--listen", "127.0.0.1:0", "--peer", "127.0.0.1:0"]);
    let output = command.output().expect("the program starts");
    assert_fails(&output, 2, &["KITEPULLEY_FLEET_KEY"]);
    command.env("KITEPULLEY_FLEET_KEY", "tooshort");
    let output = command.output().expect("the program starts");
    assert_fails(&output, 2, &["KITEPULLEY_FLEET_KEY", "16 characters"]);
    assert!(!String::from_utf8_lossy(&output.stderr).contains("tooshort"));
}

#[test]
fn a_port_in_use_is_told() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let output = serve(&["--listen", &address, "--peer", "127.0.0.1:0"]);
    assert_fails(&output, 1, &[&address, "cannot be bound"]);
}

#[test]
fn a_platform_that_is_away_is_told() {
    let output = kitepulley(&["plan", "withdraw", "m", "v1", "--platform", "127.0.0.1:1"]);
    assert_fails(&output, 1, &["did not answer"]);
}

#[test]
fn a_malformed_history_names_its_line() {
    let file = std::env::temp_dir().join(format!("kitepulley-{}.jsonl", std::process::id()));
    std::fs::write(&file, "{\"at\":1,\"event\":\"accepted\",\"revision\":1}\n{oops\n").unwrap();
    let output = kitepulley(&["check", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    assert_fails(&output, 2, &[":2:", "not an event"]);
}

#[test]
fn all_faults_of_the_declarations_are_told_at_once_with_their_lines() {
    let file = std::env::temp_dir().join(format!("kitepulley-{}.toml", std::process::id()));
    let text = include_str!("../examples/tiny.toml")
        .replace("\"roastmind@v3\", \"roastmind@v4\"]\nservices", "\"roastmind@v8\"]\nservices")
        .replace("target = 0.9", "target = 0.99");
    std::fs::write(&file, text).unwrap();
    let output = kitepulley(&["plan", file.to_str().unwrap(), "--platform", "127.0.0.1:1"]);
    std::fs::remove_file(&file).unwrap();
    assert_fails(&output, 2, &["roastmind@v8", "under its target", ".toml:"]);
}

/// Settings file of the users' platform with all required fields.
const NODE: &str = r#"{"node_name": "vm1", "ip": "127.0.0.1", "zone": "here",
    "listen": {"frontend": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
    "platform": {"address": "127.0.0.1:3"}}"#;

fn entry(name: &str, text: &str) -> Output {
    entry_with(name, text, &[])
}

fn entry_with(name: &str, text: &str, flags: &[&str]) -> Output {
    let file = std::env::temp_dir().join(format!("kitepulley-{}-{name}", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_kitepulley"));
    let output = command.arg("entry").args(flags).env("KITEPULLEY_CONFIG", &file).output();
    std::fs::remove_file(&file).unwrap();
    output.expect("the program starts")
}

#[test]
fn a_settings_file_that_does_not_read_names_the_field() {
    let missing = Command::new(env!("CARGO_BIN_EXE_kitepulley"))
        .arg("entry")
        .env("KITEPULLEY_CONFIG", "/nowhere/node.json")
        .output()
        .unwrap();
    assert_fails(&missing, 2, &["/nowhere/node.json", "cannot be read"]);
    let unset = Command::new(env!("CARGO_BIN_EXE_kitepulley"))
        .arg("entry")
        .env_remove("KITEPULLEY_CONFIG")
        .output()
        .unwrap();
    assert_fails(&unset, 2, &["KITEPULLEY_CONFIG is not set"]);
    assert_fails(&entry("a", "{ node"), 2, &[":1:"]);
    for field in ["node_name", "ip", "zone", "frontend", "readiness", "address"] {
        let without = NODE.replace(&format!("\"{field}\""), "\"other\"");
        assert_fails(&entry(field, &without), 2, &[&format!("{field}`"), "is missing"]);
    }
    let invalid = NODE.replace("127.0.0.1:2", "localhost");
    assert_fails(&entry("b", &invalid), 2, &["listen.readiness", "`localhost`"]);
    let negative = NODE.trim_end().strip_suffix('}').expect("an object").to_owned();
    let negative = format!("{negative}, \"limits\": {{\"cpu_quota\": -1}}}}");
    assert_fails(&entry("g", &negative), 2, &["limits.cpu_quota", "`-1`", "share of a core"]);
}

#[test]
fn a_confidence_that_is_no_percentage_is_named() {
    for (name, given) in [("c", "101"), ("d", "-1"), ("e", "NaN"), ("f", "much")] {
        let flag = format!("--keep-confidence={given}");
        assert_fails(&entry_with(name, NODE, &[&flag]), 2, &["--keep-confidence", given]);
    }
}

#[test]
fn each_command_has_help_with_an_example() {
    let commands = [
        "serve",
        "entry",
        "standin",
        "demo",
        "plan",
        "confirm",
        "status",
        "explain",
        "burn",
        "bill",
        "check",
        "experiment",
        "chart",
    ];
    for command in commands {
        let output = kitepulley(&[command, "--help"]);
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(text.contains("Example:\n  "), "{command}: {text}");
    }
}
