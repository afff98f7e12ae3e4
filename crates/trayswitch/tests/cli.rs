//! The command line as its users meet it.

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    path::PathBuf,
    process::{Command, Output, Stdio},
    thread,
};

use googletest::prelude::*;

/// Builds one call of the command.
struct Call {
    command: Command,
    input: &'static str,
}

impl Call {
    fn new(args: &[&str]) -> Call {
        let mut command = Command::new(env!("CARGO_BIN_EXE_trayswitch"));
        command.args(args).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        Call { command, input: "" }
    }

    fn args(mut self, args: &[&str]) -> Call {
        self.command.args(args);
        self
    }

    fn input(mut self, input: &'static str) -> Call {
        self.input = input;
        self
    }

    fn run(mut self) -> Output {
        let mut child = self.command.spawn().unwrap();
        child.stdin.take().unwrap().write_all(self.input.as_bytes()).unwrap();
        child.wait_with_output().unwrap()
    }
}

fn example(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name).display().to_string()
}

/// A file with an operator key.
fn key_file(test: &str) -> PathBuf {
    let key = std::env::temp_dir().join(format!("trayswitch-key-{test}-{}", std::process::id()));
    std::fs::write(&key, "operator-key-of-the-test").unwrap();
    key
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Calls the command with a daemon that answers one request with this status and body; returns the
/// request's first line too.
fn call_daemon(
    args: &[&str],
    test: &str,
    status: &'static str,
    body: &'static str,
) -> (Output, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let key = key_file(test);
    let daemon = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines().map_while(|l| l.ok());
        let first = lines.next().unwrap();
        lines.find(String::is_empty).unwrap();
        let length = body.len();
        write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").unwrap();
        first
    });

    let output = Call::new(args)
        .args(&["--operators", &address, "--key-file", &key.display().to_string()])
        .run();

    std::fs::remove_file(&key).unwrap();
    (output, daemon.join().unwrap())
}

#[gtest]
fn the_users_deployments_are_sound() {
    for name in ["magnolia/site.ini", "abay/site.ini", "demo/site.ini"] {
        let output = Call::new(&["config", "check", &example(name)]).run();

        expect_that!(output.status.code(), some(eq(0)), "{}", stderr(&output));
        expect_that!(stdout(&output), contains_substring("is sound"));
    }
}

#[gtest]
fn a_file_that_is_no_configuration_is_refused_with_all_its_faults() {
    let output = Call::new(&["config", "check", &example("demo/vm-1.ini")]).run();

    expect_that!(output.status.code(), some(eq(3)));
    expect_that!(stderr(&output), contains_substring("[deployment]: this section is required"));
    expect_that!(stderr(&output), contains_substring("[vm]: unknown section"));
}

#[gtest]
fn a_missing_file_is_named() {
    let output = Call::new(&["config", "check", "nowhere.ini"]).run();

    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(stderr(&output), contains_substring("cannot read nowhere.ini"));
}

#[gtest]
fn a_key_is_hashed_as_files_carry_it() {
    let output = Call::new(&["config", "key"]).input("demo-caller-key\n").run();

    let digest = trayswitch_core::config::key_digest("demo-caller-key");
    expect_that!(stdout(&output).trim(), eq(digest.as_str()));
}

#[gtest]
fn asking_a_daemon_needs_a_key_file_and_says_so() {
    let output = Call::new(&["status"]).run();

    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(stderr(&output), contains_substring("--key-file"));
}

#[gtest]
fn a_daemon_that_cannot_be_reached_is_told_from_a_lost_answer() {
    // The listener is dropped at once, so that nothing listens there.
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let key = key_file("unreachable");
    let address = address.to_string();

    let output = Call::new(&["status", "--operators", &address])
        .args(&["--key-file", &key.display().to_string()])
        .run();

    std::fs::remove_file(&key).unwrap();

    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(stderr(&output), contains_substring("cannot reach"));
}

#[gtest]
fn completions_are_printed() {
    let output = Call::new(&["completions", "bash"]).run();

    expect_that!(stdout(&output), contains_substring("_trayswitch"));
}

#[gtest]
fn a_file_that_is_no_key_is_not_shown() {
    let file = example("demo/site.ini");

    let output = Call::new(&["status", "--key-file", &file]).run();

    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(stderr(&output), contains_substring("does not hold an operator key"));
    expect_that!(stderr(&output), not(contains_substring("deployment")));
}

#[gtest]
fn a_name_that_no_hall_can_have_is_refused_before_any_daemon_is_asked() {
    let key = key_file("hall");

    let output =
        Call::new(&["hall", "out", "hall atl", "--key-file", &key.display().to_string()]).run();

    std::fs::remove_file(&key).unwrap();

    expect_that!(output.status.code(), some(eq(2)), "{}", stderr(&output));
    expect_that!(stderr(&output), contains_substring("\"hall atl\" is no name of a data hall"));
}

#[gtest]
fn what_is_no_digest_is_refused_before_any_daemon_is_asked() {
    let output = Call::new(&["suspects", "clear", "5f0c"]).run();

    expect_that!(output.status.code(), some(eq(2)), "{}", stderr(&output));
    expect_that!(stderr(&output), contains_substring("expected 32 hexadecimal digits"));
}

const LOAD: &str = r#"{"window_s":10,"requests":[{"service":"m","kind":"chat","workspace":"w",
    "asked":7,"started":4,"rejected":2,"returned":1,"in_time":3,"late":1,"waiting":5,
    "next_return_ms":null}],"services":[{"service":"m","hall":"a","endpoints":6,"full":6,"idle":0,
    "unavailable":1,"free_tokens":900}]}"#;

#[gtest]
fn the_load_is_shown_as_two_tables() {
    let (output, request) = call_daemon(&["load"], "load", "200 OK", LOAD);

    expect_that!(request, starts_with("GET /v1/load "));
    expect_that!(output.status.code(), some(eq(0)), "{}", stderr(&output));
    expect_that!(stdout(&output), contains_substring("requests of the last 10 s"));
    expect_that!(stdout(&output), contains_regex("m +chat +w +7 +4 +2 +1 +3 +1 +5 +-"));
    expect_that!(stdout(&output), contains_regex("m +a +6 +6 +0 +1 +900"));
}

#[gtest]
fn the_load_is_shown_as_json() {
    let (output, _) = call_daemon(&["load", "--json"], "load-json", "200 OK", LOAD);

    let shown: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let expected: serde_json::Value = serde_json::from_str(LOAD).unwrap();
    expect_that!(shown, eq(&expected));
}

/// Guards against an empty table from a daemon that does not know the load.
#[gtest]
fn a_daemon_that_does_not_lead_shows_no_load() {
    let body = r#"{"error":{"message":"this daemon does not lead"}}"#;

    let (output, _) = call_daemon(&["load"], "load-follower", "409 Conflict", body);

    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(stderr(&output), contains_substring("this daemon does not lead"));
    expect_that!(stdout(&output), eq(""));
}
