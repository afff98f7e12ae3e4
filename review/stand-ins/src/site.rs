//! A small deployment on loopback addresses: control and front processes, runners, an operator.

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, ChildStdin, Command, Stdio},
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer},
    runner::{Framing, Options, Run},
};

const PROGRAM: &str = "target/release/trayswitch-platform";
const START_LIMIT: Duration = Duration::from_secs(20);
/// Control machines; two may be lost at once.
const CONTROL: usize = 5;
const LOSSES: usize = 2;
const ZONES: [&str; 4] = ["hall-atl", "hall-bhm", "hall-msy", "hall-bna"];
/// Time after the last start in which all machines come in touch, and some more.
const CONTACT: Duration = Duration::from_millis(4_500);
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
/// The only service.
pub const SERVICE: &str = "tutor-llm";

fn zone(n: usize) -> String {
    ZONES[n % ZONES.len()].to_owned()
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, started_at: Instant::now() })
    }

    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().expect("no thread panics while it writes");
        let _ = writeln!(file, "{:8.3} {text}", self.started_at.elapsed().as_secs_f64());
    }
}

/// Ends a process when it is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A runner's process.
pub struct Runner {
    process: Process,
    orders: Option<ChildStdin>,
    acknowledged: mpsc::Receiver<()>,
}

impl Runner {
    /// Tells the runner to say that it leaves; returns once that was acknowledged.
    pub fn drain(&mut self) -> io::Result<()> {
        if let Some(orders) = &mut self.orders {
            writeln!(orders, "drain")?;
        }
        self.acknowledged.recv_timeout(Duration::from_secs(5)).map_err(io::Error::other)
    }

    /// Cuts the runner off from control: no heartbeat gets through from now on.
    pub fn cut(&mut self) -> io::Result<()> {
        match &mut self.orders {
            Some(orders) => writeln!(orders, "cut"),
            None => Ok(()),
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.process.0.kill();
        let _ = self.process.0.wait();
    }
}

/// The processes of a deployment.
pub struct Site {
    folder: PathBuf,
    ips: Vec<Ipv4Addr>,
    processes: Vec<Process>,
    port: u16,
    pub record: Record,
}

impl Site {
    /// Starts control and front processes; everything ends when the site is dropped.
    pub fn start(record: Record, fronts: usize) -> io::Result<Site> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("trayswitch-review-{pid}"));
        fs::create_dir_all(&folder)?;
        let net = |last: usize| {
            Ipv4Addr::new(127, 100 + (pid >> 8 & 0x7f) as u8, pid as u8, 1 + last as u8)
        };
        let ips: Vec<Ipv4Addr> = (0..CONTROL + fronts + 1).map(net).collect();
        let port = free_ports(&ips)?;
        let mut site = Site { folder, ips, processes: Vec::new(), port, record };
        for n in 0..CONTROL + fronts {
            let process = site.spawn(n)?;
            site.processes.push(process);
        }
        Ok(site)
    }

    fn spawn(&self, n: usize) -> io::Result<Process> {
        let role = if is_control(n) { "control" } else { "entry" };
        let settings = self.folder.join(format!("{role}-{n}.conf"));
        fs::write(&settings, self.settings(n))?;
        let log = File::create(self.folder.join(format!("{role}-{n}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env_clear()
            .env("TRAYSWITCH_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.write(&format!("started {role} {}", self.ips[n]));
        Ok(Process(child))
    }

    /// Settings like those of a small deployment, with its bounds.
    fn settings(&self, n: usize) -> String {
        let ip = self.ips[n];
        let seeds: Vec<String> = self.control().iter().take(3).map(SocketAddr::to_string).collect();
        let mut text = format!(
            "node-name=machine-{n}\nip={ip}\nzone={}\nregion=deep-south\n\
             internal-ports={},{}\nseeds={}\nbootstrap=true\nin-tolerance={}\n\
             limits.memory-mb={}\nlimits.max-fds=4096\nheartbeat-ms=1200\n\
             fault-tolerance.machines={}\nbounds.contact-ms=3000\nbounds.ack-ms=4000\n\
             bounds.drain-ms=2000\nbounds.grace-s=8\nbounds.config-apply-ms=2000\n\
             bounds.strict-revocation=true\nbounds.revoke-ms=5000\n\
             bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.budget-slack=54\n",
            zone(n),
            self.port,
            self.port + 15,
            seeds.join(","),
            is_control(n),
            if is_control(n) { 256 } else { 110 },
            LOSSES,
        );
        if is_control(n) {
            let data = self.folder.join(format!("data-{n}"));
            text +=
                &format!("listen.control={ip}:{}\ndata-dir={}\n", self.port + 16, data.display());
        } else {
            let (callers, ready) = (self.port + 17, self.port + 18);
            text += &format!("listen.front={ip}:{callers}\nlisten.ready={ip}:{ready}\n");
        }
        text
    }

    /// Addresses of the control machines.
    pub fn control(&self) -> Vec<SocketAddr> {
        let ips = &self.ips[..CONTROL];
        ips.iter().map(|ip| SocketAddr::from((*ip, self.port + 16))).collect()
    }

    /// Sends a signal to a front process.
    pub fn signal_front(&self, number: usize, signal: &str) -> io::Result<()> {
        let order = format!("kill -{signal} {}", self.processes[CONTROL + number].0.id());
        Command::new("sh").args(["-c", &order]).status()?;
        self.record.write(&format!("SIG{signal} to {}", self.ips[CONTROL + number]));
        Ok(())
    }

    /// Stops a front process as the platform does: SIGTERM, and SIGKILL after the time of grace.
    pub fn stop_front(&mut self, number: usize) -> io::Result<()> {
        self.signal_front(number, "TERM")?;
        let process = &mut self.processes[CONTROL + number].0;
        let until = Instant::now() + GRACE;
        while process.try_wait()?.is_none() {
            if until < Instant::now() {
                process.kill()?;
                self.record.write("SIGKILL");
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.write(&format!("{} has ended", self.ips[CONTROL + number]));
        Ok(())
    }

    /// Addresses at which callers connect.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let ips = &self.ips[CONTROL..self.ips.len() - 1];
        ips.iter().map(|ip| SocketAddr::from((*ip, self.port + 17))).collect()
    }

    /// Starts a runner that doesn't tell when it was started.
    pub fn start_runner(
        &self,
        number: u16,
        slots: usize,
        framing: Framing,
        events: u64,
        pace: Duration,
    ) -> io::Result<Runner> {
        self.start_run(number, slots, framing, events, pace, Run::first())
    }

    /// Starts a run of a runner.
    pub fn start_run(
        &self,
        number: u16,
        slots: usize,
        framing: Framing,
        events: u64,
        pace: Duration,
        run: Run,
    ) -> io::Result<Runner> {
        let ip = self.ips[self.ips.len() - 1];
        let options = Options {
            id: format!("i-{number}"),
            service: SERVICE.to_owned(),
            address: SocketAddr::from((ip, self.port + number)),
            zone: zone(number.into()),
            control: self.control(),
            slots,
            framing,
            events,
            pace,
            run,
        };
        let mut child = Command::new(std::env::current_exe()?)
            .arg("runner")
            .args(options.arguments())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let (tx, acknowledged) = mpsc::channel();
        let record = self.record.clone();
        if let Some(output) = child.stdout.take() {
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    record.write(&format!("runner {line}"));
                    if line.ends_with("drain acknowledged") {
                        let _ = tx.send(());
                    }
                }
            });
        }
        let orders = child.stdin.take();
        Ok(Runner { process: Process(child), orders, acknowledged })
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn configure(&self, config: &str) -> io::Result<()> {
        let until = Instant::now() + START_LIMIT;
        let control = self.control();
        for to in control.iter().cycle() {
            let headers = [("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let answer = http::call(*to, "PUT", "/-/config", &headers, config.as_bytes(), limit);
            match &answer {
                Ok(Answer { status: 200, .. }) => {
                    self.record.write(&format!("operator: {to} acknowledged {config}"));
                    return Ok(());
                }
                Ok(answer) if answer.status / 100 == 4 => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    return Err(io::Error::other(body));
                }
                _ if until < Instant::now() => break,
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        Err(io::Error::other("no configuration was acknowledged"))
    }

    /// Waits until every front process says that it is ready and all machines are in touch.
    pub fn wait_until_in_touch(&self) -> io::Result<()> {
        let until = Instant::now() + START_LIMIT;
        for front in self.fronts() {
            let ready = SocketAddr::new(front.ip(), self.port + 18);
            let limit = Duration::from_secs(1);
            let is_ready = || {
                let answer = http::call(ready, "GET", "/-/ready", &[], b"", limit);
                answer.is_ok_and(|answer| answer.status == 200)
            };
            while !is_ready() {
                if until < Instant::now() {
                    return Err(io::Error::other(format!("{front} does not become ready")));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        thread::sleep(CONTACT);
        Ok(())
    }
}

fn is_control(n: usize) -> bool {
    n < CONTROL
}

impl Drop for Site {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The first of 20 ports that are free at all these addresses.
fn free_ports(ips: &[Ipv4Addr]) -> io::Result<u16> {
    for _ in 0..200 {
        let probe = TcpListener::bind((ips[0], 0))?;
        let first = probe.local_addr()?.port();
        drop(probe);
        let Some(last) = first.checked_add(20) else { continue };
        let is_free =
            |ip: &Ipv4Addr| (first..last).all(|port| TcpListener::bind((*ip, port)).is_ok());
        if ips.iter().all(is_free) {
            return Ok(first);
        }
    }
    Err(io::Error::other("no free ports"))
}
