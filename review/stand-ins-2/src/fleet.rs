//! A small deployment: the project's own programs as processes on loopback addresses.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, atomic::AtomicBool},
    time::{Duration, Instant},
};

use crate::{http, proxy, record::Record};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

const SIGKILL: i32 = 9;

/// The internal ports of a machine whose links go through proxies are so much higher.
const PROXY_PORTS: u16 = 20;

const ZONES: [&str; 4] = ["hall-atl", "hall-bhm", "hall-msy", "hall-bna"];

/// The ports that every machine has.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
}

struct Machine {
    ip: String,
    role: &'static str,
    zone: &'static str,
    child: Option<Child>,
    starts: u32,
}

/// Processes and their settings; all are ended when it is dropped.
pub struct Fleet {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub net: String,
    pub ports: Ports,
    pub record: Record,
    machines: BTreeMap<String, Machine>,
    seeds: Vec<String>,
    /// Machines whose links go through proxies.
    proxied: BTreeSet<String>,
}

impl Fleet {
    /// Settings for `core` control machines and `front` entry machines; starts none of them.
    pub fn new(root: &Path, core: usize, front: usize, record: Record) -> io::Result<Fleet> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder)?;
        // A net of its own for each run, so that addresses are free.
        let net = format!("127.{}.{}", 20 + pid % 200, (pid / 200) % 250);
        let ports = free_ports(&format!("{net}.1"))?;
        let mut fleet = Fleet {
            root: root.to_owned(),
            folder,
            net: net.clone(),
            ports,
            record,
            machines: BTreeMap::new(),
            seeds: Vec::new(),
            proxied: BTreeSet::new(),
        };
        for i in 0..core {
            let ip = format!("{net}.{}", 10 + i);
            if fleet.seeds.len() < 3 {
                fleet.seeds.push(format!("{ip}:{}", ports.control));
            }
            fleet.add(format!("core-{}", i + 1), ip, "control", ZONES[i % 4]);
        }
        for i in 0..front {
            let ip = format!("{net}.{}", 30 + i);
            fleet.add(format!("front-{}", i + 1), ip, "entry", ZONES[i % 4]);
        }
        Ok(fleet)
    }

    fn add(&mut self, name: String, ip: String, role: &'static str, zone: &'static str) {
        self.machines.insert(name, Machine { ip, role, zone, child: None, starts: 0 });
    }

    /// An address on this run's net, for stand-ins.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        format!("{}.{host}:{port}", self.net).parse().unwrap()
    }

    pub fn control(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.machines[&format!("core-{n}")].ip, self.ports.control)
            .parse()
            .unwrap()
    }

    pub fn front(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.machines[&format!("front-{n}")].ip, self.ports.front).parse().unwrap()
    }

    pub fn ready(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.machines[&format!("front-{n}")].ip, self.ports.ready).parse().unwrap()
    }

    pub fn names(&self) -> Vec<String> {
        self.machines.keys().cloned().collect()
    }

    /// The settings file of a machine, as DEPLOY.md shows it.
    fn settings(&self, name: &str, first_start: bool) -> String {
        let m = &self.machines[name];
        let Ports { front, ready, control, internal } = self.ports;
        let is_core = m.role == "control";
        let class = if is_core { "core" } else { "front" };
        let mut text = format!(
            "node-name={name}\nrole={}\nmachine-class={class}\nip={}\nzone={}\nregion=deep-south\n",
            m.role, m.ip, m.zone
        );
        for zone in ZONES {
            text += &format!("zones.{zone}=deep-south\n");
        }
        if is_core {
            let data = self.folder.join(name).join("data");
            text += &format!("serves=control\nlisten.control={}:{control}\n", m.ip);
            text += &format!("data-dir={}\n", data.display());
            text += "in-tolerance=true\nlimits.cpu-share=0.6\nlimits.memory-mb=256\n";
            text += "limits.max-fds=4096\nlimits.disk-mb=128\n";
        } else {
            text += &format!(
                "serves=front\nlisten.front={ip}:{front}\nlisten.ready={ip}:{ready}\n",
                ip = m.ip
            );
            text += "in-tolerance=false\nlimits.cpu-share=0.25\nlimits.memory-mb=110\n";
            text += "limits.max-fds=4100\nlimits.disk-mb=0\n";
        }
        let internal = internal + if self.proxied.contains(name) { PROXY_PORTS } else { 0 };
        text += &format!("internal-ports={internal},{}\n", internal + 15);
        text += &format!("seeds={}\nbootstrap={first_start}\n", self.seeds.join(","));
        text += "limits.cpu-cores=1\nlimits.link-mbps=1000.0\ndiscovery=registration\nentry=vip\n\
                 heartbeat-ms=1200\n\
                 contracts=base,drain,config,cost,retry,recover,engine,stream,tenants\n\
                 fault-tolerance.machines=2\nfault-tolerance.zones=0\nfault-tolerance.regions=0\n\
                 bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.contact-ms=3000\n\
                 bounds.ack-ms=4000\nbounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
                 bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\n\
                 bounds.rollback-slack-ms=250\nbounds.max-skew-ms=5000\n\
                 bounds.strict-revocation=true\nbounds.revoke-ms=5000\n\
                 bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\n\
                 bounds.budget-slack=54\nbounds.recovery-s=12\nbounds.pass_ms=120\n\
                 bounds.again_s=4.6\nconfig-mode=highest\n";
        text
    }

    /// Starts the process of a machine, with the command of the deploy file.
    pub fn start(&mut self, name: &str, first_start: bool) -> io::Result<()> {
        let own = self.folder.join(name);
        fs::create_dir_all(own.join("data"))?;
        let settings = own.join("local.conf");
        fs::write(&settings, self.settings(name, first_start))?;
        let role = self.machines[name].role;
        let starts = self.machines[name].starts + 1;
        let log = fs::File::create(own.join(format!("log-{starts}")))?;
        let mut command = Command::new(self.root.join("target/release/trayswitch-platform"));
        command
            .arg(role)
            .current_dir(&self.root)
            .env_clear()
            .env("TRAYSWITCH_CONFIG", &settings)
            .env("PATH", "/usr/bin:/bin")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // Nothing outlives this program, however that ends.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL as std::ffi::c_ulong) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let child = command.spawn()?;
        self.record.line(&format!("{name} starts, bootstrap={first_start}"));
        let machine = self.machines.get_mut(name).unwrap();
        machine.child = Some(child);
        machine.starts = starts;
        Ok(())
    }

    /// Lets the links of an entry machine go through proxies; to be called before it starts. While the flag is set,
    /// what it sends to other daemons is held up; what they send to it passes.
    pub fn proxy_links(&mut self, name: &str) -> io::Result<Arc<AtomicBool>> {
        let holds = Arc::new(AtomicBool::new(false));
        let at = |ip: &str, port: u16| -> SocketAddr { format!("{ip}:{port}").parse().unwrap() };
        let internal = self.ports.internal;
        let own = &self.machines[name].ip;
        for (other, m) in &self.machines {
            // Links lead to the first internal port, forwarded requests to the second.
            let port = internal + u16::from(m.role != "control");
            if other != name {
                proxy::spawn(at(&m.ip, port + PROXY_PORTS), at(&m.ip, port), holds.clone())?;
            }
        }
        let never = Arc::new(AtomicBool::new(false));
        proxy::spawn(at(own, internal + 1), at(own, internal + 1 + PROXY_PORTS), never)?;
        self.proxied.insert(name.to_owned());
        Ok(holds)
    }

    /// Starts every machine for the first time.
    pub fn start_all(&mut self) -> io::Result<()> {
        for name in self.names() {
            self.start(&name, true)?;
        }
        Ok(())
    }

    /// Sends a signal to the process of a machine.
    fn signal(&mut self, name: &str, signal: i32) {
        let Some(child) = &self.machines[name].child else { return };
        self.record.line(&format!("{name} gets signal {signal}"));
        unsafe { kill(child.id() as i32, signal) };
    }

    /// Kills the process of a machine and waits for its end.
    pub fn kill(&mut self, name: &str) {
        self.signal(name, SIGKILL);
        if let Some(mut child) = self.machines.get_mut(name).unwrap().child.take() {
            let _ = child.wait();
        }
    }

    /// Whether the process of a machine runs.
    pub fn runs(&mut self, name: &str) -> bool {
        let child = self.machines.get_mut(name).unwrap().child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a configuration until it is acknowledged, as the operator does; returns after how long.
    pub fn put_config(&self, config: &str, first: usize, limit: Duration) -> Option<Duration> {
        let began = Instant::now();
        let core = self.machines.values().filter(|m| m.role == "control").count();
        let mut at = first - 1;
        let mut pause = 50;
        while began.elapsed() < limit {
            let n = at % core + 1;
            at += 1;
            let answer = http::ask(
                self.control(n),
                "PUT",
                "/-/config",
                &[("Host", "control"), ("Content-Type", "application/json")],
                config.as_bytes(),
                Duration::from_secs(1),
            );
            match answer {
                Ok(answer) if answer.status() == 200 => {
                    self.record.line(&format!("core-{n} acknowledges the configuration"));
                    return Some(began.elapsed());
                }
                Ok(answer) => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    self.record.line(&format!("core-{n} answers {}: {text}", answer.status()));
                    if [400, 409, 412, 413, 422].contains(&answer.status()) {
                        return None;
                    }
                }
                Err(e) => self.record.line(&format!("core-{n} gives no answer: {e}")),
            }
            std::thread::sleep(Duration::from_millis(pause));
            pause = (pause * 2).min(800);
        }
        None
    }

    /// Waits until an entry machine says that it is ready.
    pub fn wait_ready(&self, n: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let answer = http::ask(
                self.ready(n),
                "GET",
                "/-/ready",
                &[("Host", "ready")],
                b"",
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in self.machines.values_mut() {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        let _ = io::stdout().flush();
    }
}

fn free_ports(ip: &str) -> io::Result<Ports> {
    let pid = std::process::id() as u16;
    for i in 0..50u16 {
        let base = 15_000 + (pid % 500) * 20 + i * 40;
        let ports = [base, base + 1, base + 2, base + 3, base + 13];
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return Ok(Ports {
                front: base,
                ready: base + 1,
                control: base + 2,
                internal: base + 3,
            });
        }
    }
    Err(io::Error::other("no free ports"))
}
