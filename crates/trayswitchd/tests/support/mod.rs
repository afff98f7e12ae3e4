//! A site of real processes on addresses of its own within the loopback range.

#![allow(dead_code, reason = "each test program uses a part of it")]

mod asking;

use std::{
    collections::BTreeMap,
    fs,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

/// Longest wait for a condition; only a failing test waits this long.
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK_EVERY: Duration = Duration::from_millis(20);

pub const KEY: &str = "caller-key";
const OPERATOR_KEY: &str = "operator-key-of-the-tests";
const ENGINE_PORT: u16 = 9101;
const SERVICE_PORT: u16 = 9501;

/// How large a site is, and how its engines are.
#[derive(Clone, Copy)]
pub struct Size {
    pub daemons: usize,
    pub replicas: usize,
    pub engines: usize,
    pub services: usize,
    pub kv_tokens: u64,
    pub step_us: u64,
}

impl Default for Size {
    fn default() -> Size {
        Size {
            daemons: 3,
            replicas: 3,
            engines: 2,
            services: 2,
            kv_tokens: 200_000,
            step_us: 2_000,
        }
    }
}

/// A running site; all of its processes end with it.
pub struct Site {
    pub size: Size,
    folder: PathBuf,
    ip: String,
    processes: BTreeMap<String, Child>,
}

impl Site {
    /// Starts emulators and daemons, and submits the first configuration.
    pub fn start(size: Size) -> Site {
        let mut site = Site::prepare(size);
        for i in 1..=size.engines {
            site.start_engine(i);
        }
        for i in 1..=size.services {
            site.start_service(i);
        }
        for i in 1..=size.daemons {
            site.start_daemon(i);
        }
        site.submit_until_accepted(1);
        site.wait("every daemon is ready", |site| (1..=size.daemons).all(|i| site.ready(i)));
        site
    }

    fn prepare(size: Size) -> Site {
        static SITES: AtomicU32 = AtomicU32::new(0);
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let ip = format!("127.{}.{}", 16 + number % 200, pid % 250 + 1);
        let folder = std::env::temp_dir().join(format!("trayswitch-test-{pid}-{number}"));
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("peer.key"), "peer-key-of-the-tests").unwrap();
        fs::write(folder.join("operator.key"), OPERATOR_KEY).unwrap();
        Site { size, folder, ip, processes: BTreeMap::new() }
    }

    pub fn start_engine(&mut self, i: usize) {
        let port = (ENGINE_PORT as usize + i - 1).to_string();
        let (kv, step) = (self.size.kv_tokens.to_string(), self.size.step_us.to_string());
        let ip = self.host(100);
        let args = ["emulate", "--engines", "1", "--port", &port, "--ip", &ip, "--seed", &port];
        let more = ["--kv-tokens", &kv, "--step-us", &step, "--slots", "256"];
        self.spawn(&format!("engine-{i}"), "trayswitch-lab", &[&args[..], &more[..]].concat());
    }

    pub fn start_service(&mut self, i: usize) {
        let port = (SERVICE_PORT as usize + i - 1).to_string();
        let ip = self.host(100);
        let args = ["emulate", "--services", "1", "--port", &port, "--ip", &ip];
        self.spawn(&format!("service-{i}"), "trayswitch-lab", &args);
    }

    pub fn start_daemon(&mut self, i: usize) {
        let file = self.write_settings(i);
        self.spawn(&format!("vm-{i}"), "trayswitchd", &[file.to_str().unwrap()]);
    }

    fn write_settings(&self, i: usize) -> PathBuf {
        let host = self.host(i);
        let replicas: Vec<String> =
            (1..=self.size.replicas).map(|r| format!("vm-{r}@{}:8082", self.host(r))).collect();
        let data = if i <= self.size.replicas {
            format!("peers = {host}:8082\ndata = {}\n", self.data(i).display())
        } else {
            String::new()
        };
        let folder = self.folder.display();
        let text = format!(
            "[vm]\nname = vm-{i}\nhall = hall-atl\ncallers = {host}:8080\n\
             operators = {host}:8081\n{data}\n[control]\nreplicas = {}\n\n\
             [keys]\npeer_key_file = {folder}/peer.key\noperator_key_file = {folder}/operator.key\n\n\
             [timing]\ndrain_delay = 200ms\nidle = 1500ms\n",
            replicas.join(", ")
        );
        let path = self.folder.join(format!("vm-{i}.ini"));
        fs::write(&path, text).unwrap();
        path
    }

    fn spawn(&mut self, name: &str, program: &str, args: &[&str]) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .unwrap();
        let child = Command::new(program_path(program))
            .args(args)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.processes.insert(name.to_owned(), child);
    }

    /// A configuration of this site; `note` makes its content differ.
    pub fn config(&self, version: u64, note: &str) -> PathBuf {
        let digest = trayswitch_core::config::key_digest(KEY);
        let mut text = format!(
            "[deployment]\nname = test-{note}\nversion = {version}\n\n[hall hall-atl]\nregion = south\n\n\
             [tier gold]\nrank = 1\n\n[kind chat]\nweight = 5\nmax_wait = 20s\n\n\
             [kind confirmation]\nweight = 10\nmax_wait = 10s\n\n[model tutor-llm]\nkind = chat\n\n\
             [service booking-desk]\n\n[call booking-desk/confirm]\nkind = confirmation\n\
             repeatable = no\ntimeout = 3s\n\n[call booking-desk/slots]\nkind = confirmation\n\
             repeatable = yes\ntimeout = 3s\n\n[workspace studio-1]\ntier = gold\n\
             key_sha256 = {digest}\nmax_running = 1000\nmax_waiting = 1000\n"
        );
        let host = self.host(100);
        for i in 0..self.size.engines {
            text += &format!(
                "\n[endpoint engine-{}]\nhall = hall-atl\naddress = {host}:{}\nmodel = tutor-llm\n\
                 slots = 256\nkv_tokens = {}\n",
                i + 1,
                ENGINE_PORT as usize + i,
                self.size.kv_tokens
            );
        }
        for i in 0..self.size.services {
            text += &format!(
                "\n[endpoint service-{}]\nhall = hall-atl\naddress = {host}:{}\n\
                 service = booking-desk\nslots = 64\n",
                i + 1,
                SERVICE_PORT as usize + i
            );
        }
        let path = self.folder.join(format!("site-{version}-{note}.ini"));
        fs::write(&path, text).unwrap();
        path
    }

    /// Submits a version until some daemon answers that it is accepted.
    pub fn submit_until_accepted(&self, version: u64) {
        let file = self.config(version, "a");
        self.wait("the configuration is accepted", |site| {
            (1..=site.size.daemons).any(|i| site.submit(i, &file).status.success())
        });
    }

    pub fn submit(&self, daemon: usize, file: &Path) -> Output {
        let file = file.to_str().unwrap();
        self.cli(daemon, &["config", "submit", file])
    }

    /// Runs the command line against a daemon.
    pub fn cli(&self, daemon: usize, args: &[&str]) -> Output {
        Command::new(program_path("trayswitch"))
            .args(["--operators", &format!("{}:8081", self.host(daemon))])
            .args(["--key-file", self.folder.join("operator.key").to_str().unwrap()])
            .args(args)
            .output()
            .unwrap()
    }

    /// Sends a request to the operators' side of a daemon; returns its status and answer.
    pub fn operate(&self, daemon: usize, method: &str, path: &str) -> (u16, Value) {
        let url = format!("http://{}:8081{path}", self.host(daemon));
        let key = format!("Bearer {OPERATOR_KEY}");
        let result = ureq::request(method, &url).set("Authorization", &key).call();
        let response = match result {
            Ok(response) | Err(ureq::Error::Status(_, response)) => response,
            Err(e) => panic!("{e}"),
        };
        (response.status(), response.into_json().unwrap_or_default())
    }

    pub fn status(&self, daemon: usize) -> Option<Value> {
        let output = self.cli(daemon, &["status", "--json"]);
        serde_json::from_slice(&output.stdout).ok()
    }

    pub fn version(&self, daemon: usize) -> u64 {
        self.status(daemon).and_then(|s| s["version"].as_u64()).unwrap_or(0)
    }

    /// The daemon that leads, if one does.
    pub fn leader(&self) -> Option<usize> {
        (1..=self.size.replicas)
            .filter(|i| self.processes.contains_key(&format!("vm-{i}")))
            .find(|i| self.status(*i).is_some_and(|s| s["control"]["leads"] == true))
    }

    pub fn ready(&self, daemon: usize) -> bool {
        ureq::get(&format!("http://{}:8080/ready", self.host(daemon))).call().is_ok()
    }

    /// Starts `trayswitch-lab load` against some daemons.
    pub fn start_load(&self, daemons: &[usize], args: &[&str]) -> Child {
        let callers: Vec<String> =
            daemons.iter().map(|i| format!("{}:8080", self.host(*i))).collect();
        let host = self.host(100);
        let services: Vec<String> = (0..self.size.services)
            .map(|i| format!("{host}:{}", SERVICE_PORT as usize + i))
            .collect();
        Command::new(program_path("trayswitch-lab"))
            .args(["load", "--key", KEY, "--model", "tutor-llm", "--call", "booking-desk/confirm"])
            .args(["--callers", &callers.join(","), "--emulators", &services.join(",")])
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    }

    /// Makes load and returns its report.
    pub fn load(&self, daemons: &[usize], args: &[&str]) -> Value {
        report(self.start_load(daemons, args))
    }

    /// Kills a process without warning.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.processes.remove(name).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends a signal by name, for example `STOP`.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.processes[name].id().to_string();
        assert!(
            Command::new("kill").args([&format!("-{signal}"), &pid]).status().unwrap().success()
        );
    }

    /// Waits until a process has ended by itself; returns whether it succeeded.
    pub fn wait_for_end(&mut self, name: &str) -> bool {
        let mut child = self.processes.remove(name).unwrap();
        child.wait().unwrap().success()
    }

    /// Starts the engines anew that have ended by themselves; returns how many had.
    ///
    /// An engine that takes no connections any more has ended, though its process may go on for a moment.
    pub fn restart_engines(&mut self, fault: &str) -> usize {
        let mut ended = 0;
        for i in 1..=self.size.engines {
            let name = format!("engine-{i}");
            if TcpStream::connect(self.engine_address(&name)).is_err() {
                self.processes.get_mut(&name).unwrap().wait().unwrap();
                ended += 1;
                self.start_engine(i);
                self.fault_when_up(&name, fault);
            }
        }
        ended
    }

    /// Switches a fault on in an endpoint that has just been started.
    fn fault_when_up(&self, name: &str, fault: &str) {
        let engine = self.engine_address(name);
        self.wait("the endpoint listens", |_| TcpStream::connect(engine).is_ok());
        self.fault(name, fault);
    }

    fn engine_address(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.host(100).parse().unwrap(), self.port(name))
    }

    fn port(&self, name: &str) -> u16 {
        let (kind, number) = name.split_once('-').unwrap();
        let first = if kind == "engine" { ENGINE_PORT } else { SERVICE_PORT };
        first + number.parse::<u16>().unwrap() - 1
    }

    pub fn wipe(&self, daemon: usize) {
        fs::remove_dir_all(self.data(daemon)).unwrap();
    }

    /// Waits for a condition; fails the test when it does not come true.
    pub fn wait(&self, what: &str, condition: impl Fn(&Site) -> bool) {
        let began = Instant::now();
        while !condition(self) {
            assert!(
                began.elapsed() < PATIENCE,
                "waited in vain: {what}; logs in {:?}",
                self.folder
            );
            thread::sleep(LOOK_EVERY);
        }
    }

    pub fn callers(&self, daemon: usize) -> String {
        format!("http://{}:8080", self.host(daemon))
    }

    fn data(&self, daemon: usize) -> PathBuf {
        self.folder.join(format!("data-{daemon}"))
    }

    fn host(&self, number: usize) -> String {
        format!("{}.{number}", self.ip)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let keep = std::env::var_os("TRAYSWITCH_KEEP_LOGS").is_some();
        if !thread::panicking() && !keep {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The report of a load run.
pub fn report(load: Child) -> Value {
    let output = load.wait_with_output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    serde_json::from_str(&text).unwrap_or_else(|e| {
        panic!("no report: {e}; {text} {}", String::from_utf8_lossy(&output.stderr))
    })
}

/// How many promises a report found broken, with the report itself for the message.
pub fn violations(report: &Value) -> &Vec<Value> {
    report["checked"]["violations"].as_array().unwrap()
}

/// A program of this workspace, beside the daemon.
fn program_path(program: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_trayswitchd")).with_file_name(program);
    assert!(path.exists(), "{program} is not built; run `cargo build --workspace --bins` first");
    path
}
