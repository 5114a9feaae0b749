//! The only way between routers under test: a relay on loopback that drops, delays, doubles and reorders messages,
//! and cuts some from others, one way or both. It carries by a message's length and by who sent it alone; what passes
//! may be kept for an audit, which reads it by itself.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What ails the ways now.
#[derive(Clone, Debug, Default)]
pub struct Ails {
    /// The share of messages that are lost, late and doubled.
    pub drop: f64,
    pub late: f64,
    pub double: f64,
    /// How late at most.
    pub most: Duration,
    /// Whose messages don't reach whom, by names.
    pub cut: BTreeSet<(String, String)>,
}

struct State {
    ails: Ails,
    chance: Pcg64Mcg,
    messages: u64,
    bytes: u64,
    /// What passed, where that is kept.
    kept: Option<Vec<Passed>>,
}

/// A message that came to the relay, or went on from it.
#[derive(Clone, Debug)]
pub struct Passed {
    pub at: Instant,
    pub went_on: bool,
    pub from: String,
    pub to: String,
    pub message: Vec<u8>,
}

/// The relay: one address for each router, at which its peers reach it.
#[derive(Clone)]
pub struct Relay {
    state: Arc<Mutex<State>>,
    pub addresses: BTreeMap<String, SocketAddr>,
}

/// A whole message, when it is due, and its number among those of its connection.
type Due = std::cmp::Reverse<(Instant, u64, Vec<u8>)>;

/// Messages that wait for their time on one connection.
#[derive(Default)]
struct Waiting {
    queue: Mutex<(BinaryHeap<Due>, bool)>,
    more: Condvar,
}

impl Relay {
    /// Stands between routers that listen at these addresses, by their names.
    pub fn start(seed: u64, routers: &BTreeMap<String, SocketAddr>) -> Self {
        let chance = Pcg64Mcg::seed_from_u64(seed);
        let state =
            Arc::new(Mutex::new(State { ails: Ails::default(), chance, messages: 0, bytes: 0, kept: None }));
        let mut addresses = BTreeMap::new();
        for (name, to) in routers {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            addresses.insert(name.clone(), listener.local_addr().expect("it is bound"));
            let (state, name, to) = (Arc::clone(&state), name.clone(), *to);
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let (state, name) = (Arc::clone(&state), name.clone());
                    thread::spawn(move || drop(carry(&state, stream, &name, to)));
                }
            });
        }
        Self { state, addresses }
    }

    pub fn ail(&self, change: impl FnOnce(&mut Ails)) {
        change(&mut self.state.lock().unwrap().ails);
    }

    /// Has all that passes be kept from now on.
    pub fn keep(&self) {
        self.state.lock().unwrap().kept = Some(Vec::new());
    }

    pub fn passed(&self) -> Vec<Passed> {
        self.state.lock().unwrap().kept.clone().unwrap_or_default()
    }

    /// Messages and bytes that came to it.
    pub fn carried(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.messages, state.bytes)
    }
}

/// Carries one connection's messages, each as it fares.
fn carry(state: &Arc<Mutex<State>>, from: TcpStream, target: &str, to: SocketAddr) -> std::io::Result<()> {
    from.set_nodelay(true)?;
    let mut reader = BufReader::new(from);
    let mut hello = String::new();
    reader.read_line(&mut hello)?;
    let sender = hello.trim().rsplit(' ').next().unwrap_or_default().to_string();
    let mut onward = TcpStream::connect_timeout(&to, Duration::from_millis(500))?;
    onward.set_nodelay(true)?;
    onward.set_write_timeout(Some(Duration::from_secs(30)))?;
    onward.write_all(hello.as_bytes())?;
    let waiting = Arc::new(Waiting::default());
    let writes = Arc::clone(&waiting);
    let (passes, names) = (Arc::clone(state), [sender.clone(), target.to_string()]);
    let went_on = move |message: &[u8]| keep(&mut passes.lock().unwrap(), true, &names, message);
    let writer = thread::spawn(move || write(&writes, onward, went_on));
    let mut nth = 0;
    let mut put = |at: Instant, whole: Vec<u8>| {
        nth += 1;
        waiting.queue.lock().unwrap().0.push(std::cmp::Reverse((at, nth, whole)));
        waiting.more.notify_one();
    };
    let mut size = [0; 4];
    while reader.read_exact(&mut size).is_ok() && !writer.is_finished() {
        let mut whole = size.to_vec();
        whole.resize(4 + u32::from_be_bytes(size) as usize, 0);
        if reader.read_exact(&mut whole[4..]).is_err() {
            break;
        }
        let now = Instant::now();
        let mut state = state.lock().unwrap();
        state.messages += 1;
        state.bytes += whole.len() as u64;
        keep(&mut state, false, &[sender.clone(), target.to_string()], &whole);
        let State { ails, chance, .. } = &mut *state;
        if ails.cut.contains(&(sender.clone(), target.to_string())) || chance.random_bool(ails.drop) {
            continue;
        }
        let mut late = |share: f64| match chance.random_bool(share) {
            true => ails.most.mul_f64(chance.random()),
            false => Duration::ZERO,
        };
        if ails.double > 0.0 && late(ails.double) > Duration::ZERO {
            let again = late(1.0);
            put(now + again, whole.clone());
        }
        let wait = late(ails.late);
        drop(state);
        put(now + wait, whole);
    }
    waiting.queue.lock().unwrap().1 = true;
    waiting.more.notify_one();
    Ok(())
}

fn keep(state: &mut State, went_on: bool, [from, to]: &[String; 2], whole: &[u8]) {
    if let Some(kept) = &mut state.kept {
        let (from, to, message) = (from.clone(), to.clone(), whole[4..].to_vec());
        kept.push(Passed { at: Instant::now(), went_on, from, to, message });
    }
}

/// Writes what is due, in the order of its time.
fn write(waiting: &Waiting, mut onward: TcpStream, went_on: impl Fn(&[u8])) {
    loop {
        let mut queue = waiting.queue.lock().unwrap();
        let whole = loop {
            let now = Instant::now();
            let due = queue.0.peek().map(|next| next.0.0);
            match due {
                Some(at) if at <= now => break queue.0.pop().expect("it was there").0.2,
                Some(at) => queue = waiting.more.wait_timeout(queue, at - now).unwrap().0,
                None if queue.1 => return,
                None => queue = waiting.more.wait(queue).unwrap(),
            }
        };
        drop(queue);
        // Kept before it goes: what its receiver does with it comes after it, however long this thread waits.
        went_on(&whole);
        if onward.write_all(&whole).is_err() {
            return;
        }
    }
}
