//! Settings of one VM, read from an INI file.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use eyre::{Result, WrapErr, bail};
use trayswitch_core::{
    agreement,
    config::{ConfigError, ConfigErrors, Document, Section, SectionReader},
    mechanism::Disabled,
    node::NodeTiming,
};

const NO_SECTION: &Section = &Section::new();

/// A control replica as the settings name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaAddress {
    /// Name of its VM.
    pub(crate) vm: String,
    /// Where it takes links.
    pub(crate) address: SocketAddr,
}

/// The keys of this VM, read from the files that the settings name.
#[derive(Clone)]
pub(crate) struct Keys {
    /// Shared by all VMs of the deployment.
    pub(crate) peer: Vec<u8>,
    /// Presented by operators as a bearer token.
    pub(crate) operator: String,
}

/// Time bounds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timing {
    /// Interval of the heartbeats between control replicas.
    pub(crate) heartbeat: Duration,
    /// Shortest time without a leader before an election.
    pub(crate) election: Duration,
    /// Interval at which this daemon asks whether its configuration is current.
    pub(crate) poll: Duration,
    /// Time without confirmation after which this daemon counts itself stale.
    pub(crate) stale_after: Duration,
    /// Longest silence of an endpoint while a stream is open.
    pub(crate) idle: Duration,
    /// Time between becoming unready and refusing new requests in a planned stop.
    pub(crate) drain_delay: Duration,
    /// Longest time that a planned stop waits for running requests.
    pub(crate) drain_limit: Duration,
}

impl Timing {
    /// The bounds that the node keeps.
    pub(crate) fn node(&self) -> NodeTiming {
        let agreement = agreement::Timing { heartbeat: self.heartbeat, election: self.election };
        NodeTiming { agreement, poll: self.poll, stale_after: self.stale_after }
    }
}

/// All settings of one VM.
#[derive(Clone)]
pub(crate) struct Settings {
    /// Name of this VM.
    pub(crate) vm: String,
    /// Data hall of this VM.
    pub(crate) hall: String,
    /// Where callers and the balancer connect.
    pub(crate) callers: SocketAddr,
    /// Where operators connect.
    pub(crate) operators: SocketAddr,
    /// Where other daemons connect; only control replicas need it.
    pub(crate) peers: Option<SocketAddr>,
    /// Folder for state that must survive; only control replicas have one.
    pub(crate) data: Option<PathBuf>,
    /// All control replicas.
    pub(crate) replicas: Vec<ReplicaAddress>,
    /// Keys.
    pub(crate) keys: Keys,
    /// Time bounds.
    pub(crate) timing: Timing,
    /// Most requests in progress at once.
    pub(crate) max_requests: usize,
    /// Largest request body in bytes.
    pub(crate) max_body: usize,
    /// Where metrics are sent, if anywhere.
    pub(crate) statsd: Option<SocketAddr>,
    /// Mechanisms that are switched off.
    pub(crate) disabled: Disabled,
}

impl Settings {
    /// Reads and checks a file; reports every fault.
    pub(crate) fn load(path: &Path) -> Result<Settings> {
        let text = fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read the settings file {}", path.display()))?;
        let file = path.display().to_string();
        let document = Document::parse(&file, &text)?;
        let mut faults = Vec::new();
        let settings = read(&file, &document, &mut faults);
        if !faults.is_empty() {
            return Err(ConfigErrors(faults).into());
        }
        let Some(settings) = settings else { bail!("{file}: the settings are incomplete") };
        Ok(settings)
    }

    /// Whether this VM is a control replica.
    pub(crate) fn is_replica(&self) -> bool {
        self.data.is_some()
    }
}

fn read(file: &str, document: &Document, faults: &mut Vec<ConfigError>) -> Option<Settings> {
    unknown_sections(file, document, faults);
    let timing = timing(file, document, faults);
    let replicas = replicas(file, document, faults);
    let keys = keys(file, document, faults);
    let mut r = section(file, document, "limits", faults);
    let max_requests = r.number("max_requests", Some(2_000), 1, 100_000) as usize;
    let max_body = r.number("max_body", Some(1 << 20), 1, 1 << 30) as usize;
    r.finish();
    let mut r = section(file, document, "placement", faults);
    let disabled = r.raw("without").unwrap_or("").parse::<Disabled>().unwrap_or_else(|unknown| {
        r.add_error("without", unknown.to_string());
        Disabled::default()
    });
    r.finish();
    let mut r = section(file, document, "metrics", faults);
    let statsd = if r.raw("statsd").is_some() { r.address("statsd") } else { None };
    r.finish();
    let mut r = section(file, document, "vm", faults);
    let vm = r.text("name");
    let hall = r.text("hall");
    let callers = r.address("callers");
    let operators = r.address("operators");
    let data = r.raw("data").map(PathBuf::from);
    let peers = if data.is_some() || r.raw("peers").is_some() { r.address("peers") } else { None };
    let listed = replicas.iter().any(|replica| replica.vm == vm);
    if data.is_some() && !listed {
        r.add_error("data", "this VM has a data folder but is not listed in [control] replicas");
    }
    if data.is_none() && listed {
        r.add_error("data", "this VM is listed in [control] replicas and needs a data folder");
    }
    r.finish();
    Some(Settings {
        vm,
        hall,
        callers: callers?,
        operators: operators?,
        peers,
        data,
        replicas,
        keys: keys?,
        timing,
        max_requests,
        max_body,
        statsd,
        disabled,
    })
}

fn section<'a>(
    file: &'a str,
    document: &'a Document,
    name: &'a str,
    faults: &'a mut Vec<ConfigError>,
) -> SectionReader<'a> {
    let section = document.section(name).unwrap_or(NO_SECTION);
    SectionReader::new(file, name, section, faults)
}

fn unknown_sections(file: &str, document: &Document, faults: &mut Vec<ConfigError>) {
    const KNOWN: [&str; 7] = ["vm", "control", "keys", "timing", "limits", "placement", "metrics"];
    for name in document.sections().keys().filter(|name| !KNOWN.contains(&&***name)) {
        faults.push(ConfigError {
            file: file.to_owned(),
            section: name.to_string(),
            key: String::new(),
            message: format!("unknown section; expected one of {}", KNOWN.join(", ")),
        });
    }
}

fn timing(file: &str, document: &Document, faults: &mut Vec<ConfigError>) -> Timing {
    let millis = |n| Some(Duration::from_millis(n));
    let mut r = section(file, document, "timing", faults);
    let timing = Timing {
        heartbeat: r.duration("heartbeat", millis(75)),
        election: r.duration("election", millis(400)),
        poll: r.duration("poll", millis(500)),
        stale_after: r.duration("stale_after", millis(5_000)),
        idle: r.duration("idle", millis(5_000)),
        drain_delay: r.duration("drain_delay", millis(5_000)),
        drain_limit: r.duration("drain_limit", millis(1_800_000)),
    };
    if timing.election < timing.heartbeat * 3 {
        r.add_error("election", "must be at least three times heartbeat");
    }
    if timing.stale_after < timing.poll * 3 {
        r.add_error("stale_after", "must be at least three times poll");
    }
    r.finish();
    timing
}

fn replicas(file: &str, document: &Document, faults: &mut Vec<ConfigError>) -> Vec<ReplicaAddress> {
    let mut r = section(file, document, "control", faults);
    let list = r.text("replicas");
    let mut replicas = Vec::new();
    for item in list.split(',').map(str::trim).filter(|item| !item.is_empty()) {
        let parsed = item.split_once('@').and_then(|(vm, address)| {
            Some(ReplicaAddress { vm: vm.to_owned(), address: address.parse().ok()? })
        });
        match parsed {
            Some(replica) => replicas.push(replica),
            None => r.add_error("replicas", format!("\"{item}\" is not NAME@IP:PORT")),
        }
    }
    r.finish();
    replicas
}

fn keys(file: &str, document: &Document, faults: &mut Vec<ConfigError>) -> Option<Keys> {
    const SHORTEST: usize = 16;
    let is_key = |key: &str| SHORTEST <= key.len() && key.chars().all(|c| c.is_ascii_graphic());
    let mut r = section(file, document, "keys", faults);
    let mut read = |key: &'static str| {
        let path = r.text(key);
        if path.is_empty() {
            return None;
        }
        match fs::read_to_string(&path) {
            Ok(text) if is_key(text.trim()) => Some(text.trim().to_owned()),
            Ok(_) => {
                let expected = format!("one line of at least {SHORTEST} printable characters");
                r.add_error(key, format!("{path} holds no key: expected {expected}"));
                None
            }
            Err(e) => {
                r.add_error(key, format!("cannot read {path}: {e}"));
                None
            }
        }
    };
    let peer = read("peer_key_file");
    let operator = read("operator_key_file");
    r.finish();
    Some(Keys { peer: peer?.into_bytes(), operator: operator? })
}
