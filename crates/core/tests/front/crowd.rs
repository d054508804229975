//! Load pattern: many hosts before servers with few slots.
//!
//! Sixty hosts send to a dozen servers whose room together is about what callers ask for. A host
//! alone sees one request in sixty, so it fills servers that others have filled before.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Ending, LoadBoard, LoadReport, Plan, Router, Target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixture::{config, route, router_of, server};

const SLOTS: u32 = 6;
const WORK: f64 = 560.0;
/// Requests that wait at a server before it turns one away.
const QUEUE: usize = 24;
const AIM: f64 = 1_500.0;
const DEADLINE: f64 = 5_000.0;
/// Half the way between two regions.
const LAG: f64 = 60.0;

/// What a crowd of hosts does to its servers.
struct Crowd {
    hosts: usize,
    servers: usize,
    /// Requests for each slot's worth of work.
    load: f64,
    /// Milliseconds between two exchanges; `None` where hosts tell each other nothing.
    exchange: Option<f64>,
    seed: u64,
}

/// What callers got, as parts of all requests.
#[derive(Debug, Default)]
struct Served {
    timely: f64,
    late: f64,
    refused: f64,
    lost: f64,
    /// Sends that found a server's queue full.
    full: f64,
}

enum Event {
    Arrive {
        first: f64,
        tries: u32,
    },
    Reach {
        send: Send,
    },
    Finish {
        server: usize,
    },
    Answer {
        send: Send,
        ending: Ending,
        report: LoadReport,
    },
    Exchange,
    Tell {
        totals: Vec<u8>,
    },
}

struct Send {
    host: usize,
    target: Target,
    first: f64,
    tries: u32,
}

struct Server {
    speed: f64,
    running: Vec<(f64, Send)>,
    waiting: VecDeque<Send>,
}

struct Run {
    crowd: Crowd,
    random: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: Vec<Option<Event>>,
    routers: Vec<Router>,
    plan: Plan,
    servers: Vec<Server>,
    board: LoadBoard,
    counts: Served,
}

fn at(millis: f64) -> Time {
    Time::from_micros(10_000_000 + (millis * 1_000.0) as u64)
}

impl Run {
    fn new(crowd: Crowd) -> Self {
        let mut routes = vec![route("orders", "/o/", "orders")];
        routes[0].target = Duration::from_millis(AIM as u64);
        routes[0].timeout = Duration::from_millis(DEADLINE as u64);
        let entries = |count: usize| {
            let entry = |index: usize| {
                let mut entry = server(&format!("s{index}"), "orders", "east-a", 1);
                entry.slots = SLOTS;
                entry
            };
            (0..count).map(entry).collect::<Vec<_>>()
        };
        let config = std::sync::Arc::new(config(1, routes));
        let mut routers: Vec<Router> = (0..crowd.hosts)
            .map(|host| {
                let mut router = router_of(&format!("h{host}"));
                router.set_config(config.clone());
                router.replace_servers(at(0.0), entries(crowd.servers));
                router.set_hosts(crowd.hosts);
                router
            })
            .collect();
        let plan = routers[0].plan("shop", "/o/").unwrap();
        let speeds = [0.6, 1.0, 1.4];
        let servers = (0..crowd.servers).map(|index| Server {
            speed: speeds[index % speeds.len()],
            running: Vec::new(),
            waiting: VecDeque::new(),
        });
        Self {
            random: SmallRng::seed_from_u64(crowd.seed),
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            routers,
            plan,
            servers: servers.collect(),
            board: LoadBoard::default(),
            counts: Served::default(),
            crowd,
        }
    }

    fn push(&mut self, millis: f64, event: Event) {
        self.payloads.push(Some(event));
        let number = self.payloads.len() as u64 - 1;
        self.events
            .push(Reverse(((millis * 1_000.0) as u64, number)));
    }

    /// Plays some seconds; returns what became of requests after the first ones.
    fn play(mut self, seconds: f64) -> Served {
        let warm = 5_000.0;
        let rate = self.crowd.load * self.crowd.servers as f64 * f64::from(SLOTS) / WORK;
        let mut next = 0.0;
        let mut arrivals = 0.0;
        while next < seconds * 1_000.0 {
            next -= self.random.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
            self.push(
                next,
                Event::Arrive {
                    first: next,
                    tries: 0,
                },
            );
            arrivals += f64::from(u8::from(next > warm));
        }
        self.push(0.0, Event::Exchange);
        while let Some(Reverse((micros, number))) = self.events.pop() {
            let now = micros as f64 / 1_000.0;
            if now > seconds * 1_000.0 + DEADLINE {
                break;
            }
            if let Some(event) = self.payloads[number as usize].take() {
                self.step(now, event);
            }
        }
        let counts = &self.counts;
        Served {
            timely: counts.timely / arrivals,
            late: counts.late / arrivals,
            refused: counts.refused / arrivals,
            lost: counts.lost / arrivals,
            full: counts.full / arrivals,
        }
    }

    fn step(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrive { first, tries } => self.arrive(now, first, tries),
            Event::Reach { send } => self.reach(now, send),
            Event::Finish { server } => self.finish(now, server),
            Event::Answer {
                send,
                ending,
                report,
            } => {
                let router = &mut self.routers[send.host];
                router.ended(at(now), &send.target, ending, Some(report));
                if matches!(ending, Ending::NotRun) {
                    self.counts.full += 1.0;
                    self.refuse(now, send.first, send.tries, Duration::from_millis(150));
                } else {
                    self.count(send.first, now);
                }
            }
            Event::Exchange => self.exchange(now),
            Event::Tell { totals } => {
                let names = self.board.names().clone();
                for router in &mut self.routers {
                    router.take_totals(at(now), &names, &totals);
                }
            }
        }
    }

    fn arrive(&mut self, now: f64, first: f64, tries: u32) {
        let host = self.random.random_range(0..self.crowd.hosts);
        let left = Duration::from_millis((first + DEADLINE - now).max(0.0) as u64);
        let plan = self
            .plan
            .clone()
            .aged(Duration::from_millis((now - first) as u64));
        let picked = self.routers[host].pick(at(now), &plan, None, &[], 0, left);
        match picked {
            Ok(target) => {
                let send = Send {
                    host,
                    target,
                    first,
                    tries,
                };
                self.push(now + 1.0, Event::Reach { send });
            }
            Err(refused) => {
                let after = refused.retry_after.unwrap_or(Duration::from_secs(9));
                self.refuse(now, first, tries, after);
            }
        }
    }

    /// A caller comes back twice, where a third of the time that it has left allows it.
    fn refuse(&mut self, now: f64, first: f64, tries: u32, after: Duration) {
        let after = after.as_secs_f64() * 1_000.0;
        let left = first + DEADLINE - now;
        if tries < 2 && after <= left / 3.0 {
            self.push(
                now + after,
                Event::Arrive {
                    first,
                    tries: tries + 1,
                },
            );
        } else if first > 5_000.0 {
            self.counts.refused += 1.0;
        }
    }

    fn count(&mut self, first: f64, now: f64) {
        if first <= 5_000.0 {
            return;
        }
        let took = now - first;
        if took <= AIM {
            self.counts.timely += 1.0;
        } else if took <= DEADLINE {
            self.counts.late += 1.0;
        } else {
            self.counts.lost += 1.0;
        }
    }

    fn reach(&mut self, now: f64, send: Send) {
        let index: usize = send.target.entry.id[1..].parse().unwrap();
        let server = &mut self.servers[index];
        if server.running.len() < SLOTS as usize {
            self.begin(now, index, send);
        } else if server.waiting.len() < QUEUE {
            server.waiting.push_back(send);
        } else {
            let report = self.report(index);
            let ending = Ending::NotRun;
            self.push(
                now + 1.0,
                Event::Answer {
                    send,
                    ending,
                    report,
                },
            );
        }
    }

    fn begin(&mut self, now: f64, index: usize, send: Send) {
        let noise = if self.random.random_bool(0.2) {
            3.0
        } else {
            1.0
        };
        let spread = self.random.random_range(0.7..1.3);
        let end = now + WORK * self.servers[index].speed * noise * spread / 1.4;
        self.servers[index].running.push((end, send));
        self.push(end, Event::Finish { server: index });
    }

    fn finish(&mut self, now: f64, index: usize) {
        let due = |(end, _): &(f64, Send)| *end <= now + 0.002;
        let Some(position) = self.servers[index].running.iter().position(due) else {
            return;
        };
        let (_, send) = self.servers[index].running.swap_remove(position);
        if let Some(next) = self.servers[index].waiting.pop_front() {
            self.begin(now, index, next);
        }
        let report = self.report(index);
        let ending = Ending::Answered { success: true };
        self.push(
            now + 1.0,
            Event::Answer {
                send,
                ending,
                report,
            },
        );
    }

    fn report(&self, index: usize) -> LoadReport {
        let server = &self.servers[index];
        LoadReport {
            running: server.running.len() as u32,
            waiting: server.waiting.len() as u32,
            slots: SLOTS,
            slowness: None,
        }
    }

    fn exchange(&mut self, now: f64) {
        let Some(period) = self.crowd.exchange else {
            return;
        };
        let ids: Vec<_> = self.routers[0]
            .servers()
            .iter()
            .map(|(_, standing)| standing.entry.id.clone())
            .collect();
        self.board.list(ids.iter());
        let names = self.board.names().clone();
        for (host, router) in self.routers.iter_mut().enumerate() {
            let counts = router.count_running(&names);
            self.board.count(&format!("h{host}"), names.epoch(), counts);
        }
        let totals = self.board.totals();
        self.push(now + LAG, Event::Tell { totals });
        self.push(now + period, Event::Exchange);
    }
}

fn play(load: f64, exchange: Option<f64>) -> Served {
    let crowd = Crowd {
        hosts: 60,
        servers: 69,
        load,
        exchange,
        seed: 7,
    };
    Run::new(crowd).play(40.0)
}

#[test]
fn hosts_that_exchange_counts_answer_more_requests_in_time() {
    for load in [1.2, 1.5] {
        let alone = play(load, None);
        let together = play(load, Some(200.0));

        assert!(
            together.timely > alone.timely && together.full < 0.02,
            "load {load}: alone {alone:?}, together {together:?}"
        );
    }
}
