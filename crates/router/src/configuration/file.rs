//! Parses the router's configuration file, checks it and fills in defaults.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Map, Value};
use tindoor::settings::Settings;
use tindoor_discovery::WatchEvent;
use tindoor_extproc::request::RequestClass;

use super::ConfigurationError;
use super::limits::{LimitInputs, Limits};
use super::request_classes::parse_request_classes;
use super::section::{List, Section};

type Result<T> = std::result::Result<T, ConfigurationError>;

/// The longest configurable time, in microseconds: one hour.
const MAX_TIME_US: u64 = 3_600_000_000;
/// The shortest configurable connect timeout and idle timeout, in microseconds.
const MIN_CONNECTION_TIME_US: u64 = 1_000;
const DEFAULT_CONNECT_TIMEOUT_US: u64 = 400_000;
const DEFAULT_ENDPOINT_IDLE_TIMEOUT_US: u64 = 30_000_000;
const DEFAULT_WARM_UP_US: u64 = 20_000_000;
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// The maximum and default number of requests in flight.
const MAX_OPEN_REQUESTS: u64 = 1 << 12;
/// The largest configurable memory (in megabytes), number of descriptors and number of requests in flight.
const MAX_COUNT: u64 = 1 << 20;
/// Top-level keys that a reload applies, or that are only used at startup.
const RELOADABLE_KEYS: [&str; 3] = ["changelog", "known", "seed"];

/// The checked configuration of one router.
pub struct Configuration {
    /// The router's name.
    pub name: String,
    /// The address of the listener for clients.
    pub listen: SocketAddr,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The address of the discovery service's change stream.
    pub discovery: SocketAddr,
    /// Events of the change stream that precede the start of the router.
    pub initial_events: Vec<WatchEvent>,
    /// The sequence number of the last of the initial events.
    pub initial_sequence: u64,
    /// The settings of the routing engine.
    pub engine_settings: Settings,
    /// The request classes, in the order of the settings.
    pub classes: Vec<RequestClass>,
    /// The names of the locations, in the order of the settings.
    pub locations: Vec<String>,
    /// The names of the kinds of endpoints, in the order of the settings.
    pub endpoint_kinds: Vec<String>,
    /// The limits derived from the configuration.
    pub limits: Limits,
    /// The shorter of the grace periods after a drain and after a purge.
    pub grace: Duration,
    /// The longest time within which a client may repeat a request with the same idempotency key, over all
    /// request classes.
    pub idempotency_window: Duration,
    /// The settings that a reload does not apply.
    pub fixed: FixedSettings,
}

/// The settings that only take effect at startup, by top-level key.
pub struct FixedSettings(Map<String, Value>);

impl FixedSettings {
    fn of(file: &Value) -> Self {
        let entries = file.as_object().into_iter().flatten();
        let fixed = entries.filter(|(key, _)| !RELOADABLE_KEYS.contains(&key.as_str()));
        Self(fixed.map(|(key, value)| (key.clone(), value.clone())).collect())
    }

    /// Returns the keys whose values differ between the two.
    pub fn changed_keys<'a>(&'a self, other: &'a Self) -> BTreeSet<&'a str> {
        let keys = self.0.keys().chain(other.0.keys()).map(String::as_str);
        keys.filter(|key| self.0.get(*key) != other.0.get(*key)).collect()
    }
}

/// The settings that the router process itself uses. `tindoor_settings` parses those of the routing engine.
struct DeploymentSettings<'a> {
    classes: Vec<RequestClass>,
    grace: Duration,
    idempotency_window: Duration,
    warm_up: Duration,
    locations: Vec<String>,
    engine_limits: Section<'a>,
}

impl<'a> DeploymentSettings<'a> {
    fn parse(settings: &Section<'a>) -> Result<Self> {
        let class_list = settings.list("request_classes")?;
        let classes = parse_request_classes(&class_list)?;
        let rules = settings.object("rules")?;
        let drain_grace = rules.number("drain_grace", 0..=u64::MAX)?;
        let family_info = settings.optional_object("family_info")?;
        let purge_grace = family_info.number_or("heed_within", 0..=u64::MAX, drain_grace)?;
        let warm_up = rules.number_or("warm_within", 0..=MAX_TIME_US, DEFAULT_WARM_UP_US)?;
        let locations = settings.texts("zones")?;
        settings.number("zone", 0..=locations.len().saturating_sub(1) as u64)?;
        Ok(Self {
            classes,
            grace: Duration::from_micros(drain_grace.min(purge_grace)),
            idempotency_window: longest_idempotency_window(&class_list),
            warm_up: Duration::from_micros(warm_up),
            locations,
            engine_limits: settings.object("limits")?,
        })
    }

    /// Computes the limits. `process` is the section with the memory and descriptor bounds of the process;
    /// `descriptors_allowed` is the number of descriptors that the system allows it.
    fn limits(&self, process: &Section, descriptors_allowed: usize) -> Result<Limits> {
        let memory_mb = process.number_or("memory_mb", 32..=MAX_COUNT, DEFAULT_MEMORY_MB)?;
        let descriptors = process.number_or("sockets", 64..=MAX_COUNT, DEFAULT_DESCRIPTORS)?;
        let connection_time = |key, default| {
            let time_us = self.engine_limits.number_or(key, MIN_CONNECTION_TIME_US..=MAX_TIME_US, default);
            time_us.map(Duration::from_micros)
        };
        let connect_timeout = connection_time("connect_timeout", DEFAULT_CONNECT_TIMEOUT_US)?;
        let endpoint_idle_timeout = connection_time("conn_idle", DEFAULT_ENDPOINT_IDLE_TIMEOUT_US)?;
        let max_open_requests = self.engine_limits.number_or("open_cap", 1..=MAX_COUNT, MAX_OPEN_REQUESTS)?;
        Ok(Limits::new(LimitInputs {
            memory_mb,
            descriptors: descriptors_allowed.min(descriptors as usize),
            connect_timeout,
            endpoint_idle_timeout,
            longest_deadline: self
                .classes
                .iter()
                .map(|class| class.default_deadline)
                .max()
                .unwrap_or_default(),
            warm_up: self.warm_up,
            max_open_requests: max_open_requests.min(MAX_OPEN_REQUESTS) as usize,
        }))
    }
}

/// Returns the longest idempotency window of the request classes; zero if no class has one.
fn longest_idempotency_window(classes: &List) -> Duration {
    let windows_us = classes.items.iter().filter_map(|class| class.get("window").and_then(Value::as_u64));
    Duration::from_micros(windows_us.max().unwrap_or_default().min(MAX_TIME_US))
}

fn parse_events(list: &List) -> Result<Vec<WatchEvent>> {
    let parse = |item: Section| {
        let event = serde_json::from_value(item.value.clone());
        event.map_err(|error| ConfigurationError::new(item.path, error.to_string()))
    };
    list.sections().map(parse).collect()
}

impl Configuration {
    /// Parses the text of the file. `descriptors_allowed` is the number of file descriptors that the system
    /// allows this process.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a JSON object, or if a value is missing or invalid.
    pub fn parse(text: &[u8], descriptors_allowed: usize) -> Result<Self> {
        let file: Value = serde_json::from_slice(text)
            .map_err(|error| ConfigurationError::in_file(format!("not JSON: {error}")))?;
        if !file.is_object() {
            return Err(ConfigurationError::in_file("not a JSON object"));
        }
        let top = Section { value: &file, path: String::new() };
        let seed = top.text("seed")?;
        let settings = top.object("settings")?;
        let deployment = DeploymentSettings::parse(&settings)?;
        let limits = deployment.limits(&top.optional_object("limits")?, descriptors_allowed)?;
        let known = top.object("known")?;
        let events = known.list("results")?;
        let engine_settings = tindoor_settings::from_json(settings.value)
            .map_err(|error| ConfigurationError::new("settings", format!("{error:#}")))?;
        Ok(Self {
            name: top.text("name")?.to_string(),
            listen: top.address("listen")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| ConfigurationError::new("seed", format!("not a 64-bit hex number: {seed:?}")))?,
            discovery: top.address("changelog")?,
            initial_events: parse_events(&events)?,
            initial_sequence: known.number("seq", 0..=u64::MAX)?,
            engine_settings,
            classes: deployment.classes,
            locations: deployment.locations,
            endpoint_kinds: settings.texts("flavors")?,
            limits,
            grace: deployment.grace,
            idempotency_window: deployment.idempotency_window,
            fixed: FixedSettings::of(&file),
        })
    }
}
