//! The one place where configuration is read, checked and given defaults.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, ensure};
use serde_json::{Map, Value};
use tindoor::settings::Settings;
use tindoor_discovery::Event;

use crate::configuration::limits::{Limits, Machine};

/// What this router is told at its start.
pub struct Deployment {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub discovery: SocketAddr,
    /// The change stream up to the start.
    pub known: Vec<Event>,
    pub known_seq: u64,
    pub engine_settings: Settings,
    /// Request classes, locations and kinds of caches by their names, in the order of the settings.
    pub classes: Vec<RequestClass>,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    pub limits: Limits,
    /// The shorter of the drain grace and the purge grace.
    pub grace: Duration,
    /// The longest window of an request class whose repeats are told by marks.
    pub window: Duration,
    pub fixed: Fixed,
}

/// What holds from the start to the end of the process, by its keys.
pub struct Fixed(Map<String, Value>);

impl Fixed {
    /// The keys whose values are not the same in both.
    pub fn differ<'a>(&'a self, other: &'a Self) -> BTreeSet<&'a str> {
        let keys = self.0.keys().chain(other.0.keys()).map(String::as_str);
        keys.filter(|key| self.0.get(*key) != other.0.get(*key)).collect()
    }
}

pub struct RequestClass {
    pub name: String,
    /// A repeat is told by its nonce.
    pub tagged: bool,
    pub cut_off: Duration,
}

/// The JSON object, and where in the configuration it stands, for messages.
struct Place<'a>(&'a Value, String);

impl<'a> Place<'a> {
    fn find(&self, key: &str) -> (Option<&'a Value>, String) {
        let path = if self.1.is_empty() { key.to_string() } else { format!("{}.{key}", self.1) };
        (self.0.get(key).filter(|value| !value.is_null()), path)
    }

    fn at(&self, key: &str) -> Result<Place<'a>> {
        let (value, path) = self.find(key);
        let value = value.with_context(|| format!("{path}: missing"))?;
        ensure!(value.is_object(), "{path}: not an object");
        Ok(Place(value, path))
    }

    fn word(&self, key: &str) -> Result<&'a str> {
        let (value, path) = self.find(key);
        let value = value.with_context(|| format!("{path}: missing"))?;
        value.as_str().filter(|word| !word.is_empty()).with_context(|| format!("{path}: not a string"))
    }

    fn list(&self, key: &str) -> Result<(&'a [Value], String)> {
        let (value, path) = self.find(key);
        let value = value.with_context(|| format!("{path}: missing"))?;
        Ok((value.as_array().with_context(|| format!("{path}: not a list"))?, path))
    }

    fn words(&self, key: &str) -> Result<Vec<String>> {
        let (list, path) = self.list(key)?;
        let word = |(i, value): (usize, &Value)| {
            value.as_str().map(str::to_string).with_context(|| format!("{path}[{i}]: not a string"))
        };
        list.iter().enumerate().map(word).collect()
    }

    /// A whole number within bounds; the default where the key is missing, if there is one.
    fn number(&self, key: &str, [least, most]: [u64; 2], default: Option<u64>) -> Result<u64> {
        let (value, path) = self.find(key);
        let Some(value) = value else { return default.with_context(|| format!("{path}: missing")) };
        let number = value.as_f64().filter(|n| *n >= 0.0).with_context(|| format!("{path}: not a number"))?;
        let number = number as u64;
        ensure!((least..=most).contains(&number), "{path}: {number} is not from {least} to {most}");
        Ok(number)
    }

    fn address(&self, key: &str) -> Result<SocketAddr> {
        let word = self.word(key)?;
        word.parse().map_err(|_| anyhow!("{}: {word:?} is no address with a port", self.find(key).1))
    }
}

/// Reads the configuration from its JSON text, for a process that the system allows so many descriptors.
pub fn read(text: &[u8], descriptors_allowed: usize) -> Result<Deployment> {
    let value: Value = serde_json::from_slice(text).context("not JSON")?;
    ensure!(value.is_object(), "not a JSON object");
    let top = Place(&value, String::new());
    let seed = top.word("seed")?;
    let settings = top.at("settings")?;
    let (classes, path) = settings.list("request_classes")?;
    let class = |(i, class): (usize, &Value)| {
        let class = Place(class, format!("{path}[{i}]"));
        class.number("objective", [1, u64::MAX], None)?;
        let cut_off = Duration::from_micros(class.number("deadline", [1, u64::MAX], None)?);
        let effect = class.word("effect")?;
        let known = ["read_like", "idempotency_key", "non_idempotent"].contains(&effect);
        ensure!(known, "{}.effect: {effect:?} is not known", class.1);
        Ok(RequestClass {
            name: class.word("name")?.to_string(),
            tagged: effect == "idempotency_key",
            cut_off,
        })
    };
    let request_classes: Vec<RequestClass> = classes.iter().enumerate().map(class).collect::<Result<_>>()?;
    ensure!(!request_classes.is_empty(), "{path}: empty");
    let rules = settings.at("rules")?;
    let drain_grace = rules.number("drain_grace", [0, u64::MAX], None)?;
    let purge_grace = match settings.find("family_info").0 {
        Some(_) => settings.at("family_info")?.number("heed_within", [0, u64::MAX], Some(drain_grace))?,
        None => drain_grace,
    };
    let windows = classes.iter().filter_map(|class| class.get("window").and_then(Value::as_u64));
    let window = Duration::from_micros(windows.max().unwrap_or_default().min(3_600_000_000));
    let warm_within = rules.number("warm_within", [0, 3_600_000_000], Some(20_000_000))?;
    let locations = settings.words("zones")?;
    settings.number("zone", [0, locations.len().saturating_sub(1) as u64], None)?;
    let allowed = settings.at("limits")?;
    let micros = |key, default| {
        let span = allowed.number(key, [1_000, 3_600_000_000], Some(default));
        span.map(Duration::from_micros)
    };
    let bounds = match top.find("limits").0 {
        Some(_) => top.at("limits")?,
        None => Place(&Value::Null, "limits".to_string()),
    };
    let machine = Machine {
        memory_mb: bounds.number("memory_mb", [32, 1 << 20], Some(192))?,
        descriptors: descriptors_allowed.min(bounds.number("sockets", [64, 1 << 20], Some(1024))? as usize),
        connect: micros("connect_timeout", 400_000)?,
        cache_idle: micros("conn_idle", 30_000_000)?,
        cut_off: request_classes.iter().map(|class| class.cut_off).max().unwrap_or_default(),
        warm_within: Duration::from_micros(warm_within),
        open_requests: allowed.number("open_cap", [1, 1 << 20], Some(1 << 12))?.min(1 << 12) as usize,
    };
    let known = top.at("known")?;
    let (results, path) = known.list("results")?;
    let event = |(i, value): (usize, &Value)| {
        serde_json::from_value(value.clone()).with_context(|| format!("{path}[{i}]"))
    };
    let engine_settings = tindoor_settings::from_json(settings.0).context("settings")?;
    // The change stream moves; where it stood at some start is of no more use than that start's seed.
    let moves = ["changelog", "known", "seed"];
    let fixed = value.as_object().into_iter().flatten().filter(|(key, _)| !moves.contains(&key.as_str()));
    Ok(Deployment {
        name: top.word("name")?.to_string(),
        listen: top.address("listen")?,
        seed: u64::from_str_radix(seed, 16).map_err(|_| anyhow!("seed: {seed:?} is not hex digits"))?,
        discovery: top.address("changelog")?,
        known: results.iter().enumerate().map(event).collect::<Result<_>>()?,
        known_seq: known.number("seq", [0, u64::MAX], None)?,
        engine_settings,
        classes: request_classes,
        locations,
        kinds: settings.words("flavors")?,
        limits: Limits::of(machine),
        grace: Duration::from_micros(drain_grace.min(purge_grace)),
        window,
        fixed: Fixed(fixed.map(|(key, value)| (key.clone(), value.clone())).collect()),
    })
}
