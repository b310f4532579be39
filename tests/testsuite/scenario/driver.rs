//! Runs a scenario script line by line.

use std::fmt::Write;
use std::time::Duration;

use azuresaddle_core::prelude::*;
use clap::ArgMatches;
use hyper::Method;

use super::arguments::{
    caller_request, describe, describe_version, number, opt, put_body, spec, text, time,
};
use super::checker::violated_guarantees;
use super::grammar;
use super::world::World;

/// Runs a script on a paused clock; returns its transcript.
pub(super) fn run_script(script: &str) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    runtime.block_on(run(script))
}

async fn run(script: &str) -> String {
    let mut lines = script
        .lines()
        .filter_map(|line| Some((line.trim(), grammar::parse(line)?)));
    let (first, args) = lines.next().expect("the script has a line");
    let (command, args) = args
        .subcommand()
        .map(|(w, a)| (w.to_owned(), a.clone()))
        .expect("a word");
    assert_eq!(command, "start", "a script begins with start");
    let mut driver = Driver {
        world: World::open(spec(&args)).await,
        busy: None,
        transcript: format!("{first}\n"),
    };
    for (line, args) in lines {
        let (command, args) = args.subcommand().expect("a word");
        let result = driver.run_command(command, args).await;
        let _ = match result {
            None => writeln!(driver.transcript, "{line}"),
            Some(result) => writeln!(driver.transcript, "{line}\n    {result}"),
        };
    }
    driver.world.finish().await;
    for (id, request) in &driver.world.trace.requests {
        let _ = writeln!(driver.transcript, "{id}: {}", describe(&request.end));
    }
    let violations = violated_guarantees(&driver.world.trace);
    assert!(
        violations.is_empty(),
        "{}violated guarantees: {violations:#?}",
        driver.transcript
    );
    driver.transcript.push_str("every promise held\n");
    driver.transcript
}

struct Driver {
    world: World,
    /// The engine that the name `busy` stands for; chosen at its first use.
    busy: Option<String>,
    transcript: String,
}

impl Driver {
    /// The host that a command names; `busy` is the engine with the most streams.
    fn host(&mut self, args: &ArgMatches) -> String {
        let name = text(args, "host");
        if name != "busy" {
            return name;
        }
        let world = &self.world;
        self.busy
            .get_or_insert_with(|| world.busiest_engine())
            .clone()
    }

    async fn run_command(&mut self, command: &str, args: &ArgMatches) -> Option<String> {
        let names_host = args.try_get_one::<String>("host").is_ok();
        let host = if names_host {
            self.host(args)
        } else {
            String::new()
        };
        let world = &mut self.world;
        match command {
            "send" => {
                let id = text(args, "id");
                let request = caller_request(&id, args);
                world.send(
                    &id,
                    &text(args, "account"),
                    opt(args, "via").as_deref(),
                    request,
                );
            }
            "call" => {
                let id = text(args, "id");
                let (account, via, key) =
                    (text(args, "account"), opt(args, "via"), opt(args, "key"));
                let deadline = time(args, "deadline");
                world.call(&id, &account, via.as_deref(), deadline, key.as_deref());
            }
            "advance" => world.advance(time(args, "time")).await,
            "wait" => return Some(describe(&world.wait(&text(args, "id")).await)),
            "hang-up" => world.hang_up(&text(args, "id")),
            "kill" => world.kill(&host),
            "kill-owner" => {
                let owner = world.owner().expect("a pool has an owner");
                world.kill(owner.as_str());
            }
            "freeze-owner" => {
                let owner = world.owner().expect("a pool has an owner");
                world.set_frozen(owner.as_str(), true);
            }
            "restart" => world.restart(&host).await,
            "freeze" => world.set_frozen(&host, true),
            "thaw" => self.thaw(&host),
            "cut" => world.set_cut(&text(args, "one"), &text(args, "other"), true),
            "heal" => world.set_cut(&text(args, "one"), &text(args, "other"), false),
            "silence" => world.silence(&text(args, "one"), &text(args, "other")),
            "store" => self.store(args),
            "fault" => self.fault(&host, &text(args, "json")),
            "leaving" => {
                let leaving = text(args, "value") == "true";
                world
                    .cluster
                    .hosts
                    .set_leaving(&HostName::new(&host), leaving);
                if leaving {
                    world.begin_leaving(&host);
                } else {
                    world.cancel_leaving(&host);
                }
            }
            "plan-stop" | "cancel-stop" => return Some(self.stop(command, host, args).await),
            "put-rules" => return Some(self.put_rules(args).await),
            "race-rules" => return Some(self.race_rules(args).await),
            "expect" => self.expect(args),
            _ => unreachable!("the grammar knows every word"),
        }
        None
    }

    /// Thaws one host, or every node if the name is `nodes`.
    fn thaw(&mut self, host: &str) {
        if host != "nodes" {
            self.world.set_frozen(host, false);
            return;
        }
        let names: Vec<_> = self.world.cluster.nodes.keys().cloned().collect();
        for name in names {
            self.world.set_frozen(name.as_str(), false);
        }
    }

    fn store(&mut self, args: &ArgMatches) {
        let store = &self.world.cluster.store;
        let mut faults = store.faults();
        let count = u32::try_from(number(args, "count")).expect("a small count");
        match text(args, "state").as_str() {
            "down" => faults.down = true,
            "slow" => faults.delay_ms = time(args, "delay").as_millis() as u64,
            "lose-answers" => faults.lose_write_answers = count,
            "lose-renewals" => faults.lose_renewals = count,
            _ => faults = Default::default(),
        }
        store.set_faults(faults);
    }

    fn fault(&mut self, host: &str, json: &str) {
        let name = HostName::new(host);
        let cluster = &self.world.cluster;
        if let Some(engine) = cluster.engines.get(&name) {
            engine
                .server
                .set_faults(serde_json::from_str(json).expect("engine faults"));
        } else {
            cluster.services[&name].set_faults(serde_json::from_str(json).expect("service faults"));
        }
    }

    async fn stop(&mut self, command: &str, host: String, args: &ArgMatches) -> String {
        let path = format!("/admin/v1/hosts/{host}/stop");
        let method = if command == "plan-stop" {
            Method::PUT
        } else {
            Method::DELETE
        };
        if command == "cancel-stop" {
            self.world.cancel_leaving(&host);
        }
        let via = opt(args, "via");
        let body = String::new();
        let (status, version) = self
            .world
            .operator_request(via.as_deref(), method, &path, body)
            .await;
        if command == "plan-stop" && status.is_success() {
            self.world.begin_leaving(&host);
        }
        describe_version(status.as_u16(), version)
    }

    async fn put_rules(&mut self, args: &ArgMatches) -> String {
        let body = put_body(number(args, "base"), &text(args, "json"));
        let via = opt(args, "via");
        let path = "/admin/v1/rules";
        let (status, version) = self
            .world
            .operator_request(via.as_deref(), Method::PUT, path, body)
            .await;
        describe_version(status.as_u16(), version)
    }

    /// Lets several operators change the same version concurrently, through different nodes.
    async fn race_rules(&mut self, args: &ArgMatches) -> String {
        let base = number(args, "base");
        let nodes: Vec<_> = self.world.cluster.nodes.keys().cloned().collect();
        let calls = (0..number(args, "operators")).map(|i| {
            let rules = format!(r#"[{{"name": "by-{i}"}}]"#);
            let via = nodes[i as usize % nodes.len()].as_str();
            let body = put_body(base, &rules);
            self.world
                .operator_call(Some(via), Method::PUT, "/admin/v1/rules", body)
        });
        let tasks: Vec<_> = calls.map(tokio::spawn).collect();
        while tasks.iter().any(|task| !task.is_finished()) {
            self.world.advance(Duration::from_millis(100)).await;
        }
        let mut won = 0;
        let mut told = 0;
        for task in tasks {
            let (status, version) = task.await.expect("the operator does not panic");
            self.world.record_accepted_version(status, version);
            won += u32::from(status.is_success());
            told += u32::from(status == 409 && version == Some(base + 1));
        }
        format!("{won} accepted, {told} told of version {}", base + 1)
    }

    fn expect(&mut self, args: &ArgMatches) {
        let what = text(args, "what");
        let args: Vec<String> = args
            .get_many("args")
            .into_iter()
            .flatten()
            .cloned()
            .collect();
        let world = &self.world;
        match what.as_str() {
            "running" => assert!(world.is_running(&args[0]), "{} has ended", args[0]),
            "ended" => assert!(!world.is_running(&args[0]), "{} still runs", args[0]),
            "rules" => {
                for (name, host) in &world.cluster.nodes {
                    let version = host.node.snapshot().rules.version.0;
                    assert_eq!(version.to_string(), args[0], "rules of {name}");
                }
            }
            "owner-not" => {
                let owner = world.owner().map(|o| o.to_string());
                assert_ne!(owner.as_deref(), Some(args[0].as_str()));
            }
            "admission" => {
                let host = &world.cluster.nodes[&HostName::new(&args[0])];
                let admission = format!("{:?}", host.node.snapshot().admission);
                assert_eq!(admission, args[1], "admission of {}", args[0]);
            }
            "live-streams" => {
                let engine = &world.cluster.engines[&HostName::new(&args[0])];
                assert_eq!(engine.server.live_streams().to_string(), args[1]);
            }
            other => panic!("unknown expectation {other}"),
        }
    }
}
