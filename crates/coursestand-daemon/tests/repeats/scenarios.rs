//! The scenarios by name.

use std::collections::BTreeMap;

use crate::scenario::{BackendBehaviour, Event, Scenario};

/// A scenario without faults.
pub fn without_faults(name: &str) -> Scenario {
    Scenario {
        name: name.to_owned(),
        daemons: 12,
        initial_daemons: 12,
        backends: 6,
        behaviour: BackendBehaviour::Fail,
        requests_per_second: 60.0,
        seconds: 10.0,
        events: Vec::new(),
        retry_extra: 64.0,
    }
}

/// Repeats an event at a fixed interval until `until`, both in seconds.
pub fn every(seconds: f64, until: f64, event: Event) -> Vec<(f64, Event)> {
    let count = (until / seconds) as usize;
    (1..=count)
        .map(|number| (seconds * number as f64, event))
        .filter(|(at, _)| *at < until)
        .collect()
}

/// Returns all scenarios by name.
pub fn scenarios() -> BTreeMap<String, Scenario> {
    let mut scenarios = Vec::new();
    let mut add = |name: &str, change: &dyn Fn(&mut Scenario)| {
        let mut scenario = without_faults(name);
        change(&mut scenario);
        scenario
            .events
            .sort_by(|left, right| left.0.total_cmp(&right.0));
        scenarios.push(scenario);
    };
    add("quiet", &|_| {});
    add("control-killed", &|scenario| {
        scenario.events = every(2.5, 10.0, Event::KillControl);
    });
    add("daemons-killed-slowly", &|scenario| {
        scenario.events = every(3.0, 10.0, Event::KillDaemons);
    });
    add("daemons-killed", &|scenario| {
        scenario.events = every(1.5, 10.0, Event::KillDaemons);
    });
    add("both-killed", &|scenario| {
        scenario.events = every(3.5, 10.0, Event::KillDaemons);
        scenario.events.extend(every(3.5, 10.0, Event::KillControl));
    });
    add("daemons-killed-in-turn", &|scenario| {
        scenario.seconds = 14.0;
        scenario.events = (0..48u8)
            .map(|number| (f64::from(number) * 0.25, Event::KillDaemon(number % 12)))
            .collect();
    });
    add("busy-daemons-killed", &|scenario| {
        scenario.requests_per_second = 550.0;
        scenario.events = every(3.0, 10.0, Event::KillDaemons);
    });
    add("started-one-by-one", &|scenario| {
        scenario.initial_daemons = 0;
        scenario.events = (0..12u8)
            .map(|number| (f64::from(number) * 0.3, Event::StartDaemon(number)))
            .collect();
    });
    add("started-beside-stopped-control", &|scenario| {
        scenario.events = vec![
            (0.5, Event::StopControl),
            (1.0, Event::KillDaemons),
            (8.0, Event::ContinueControl),
        ];
    });
    add("daemons-killed-while-control-starts", &|scenario| {
        scenario.events = every(2.0, 10.0, Event::KillControl);
        scenario.events.extend(every(2.0, 10.0, Event::KillDaemons));
    });
    add("daemons-stopped", &|scenario| {
        scenario.seconds = 20.0;
        scenario.events = every(4.0, 20.0, Event::StopDaemons);
        let continues = every(4.0, 20.0, Event::ContinueDaemons);
        scenario
            .events
            .extend(continues.into_iter().map(|(at, event)| (at + 2.0, event)));
    });
    add("many-daemons", &|scenario| {
        scenario.daemons = 80;
        scenario.initial_daemons = 80;
        scenario.requests_per_second = 80.0;
    });
    add("many-daemons-killed", &|scenario| {
        scenario.daemons = 80;
        scenario.initial_daemons = 80;
        scenario.requests_per_second = 80.0;
        scenario.events = every(5.0, 10.0, Event::KillDaemons);
    });
    add("few-daemons-killed", &|scenario| {
        scenario.daemons = 3;
        scenario.initial_daemons = 3;
        scenario.events = every(2.0, 10.0, Event::KillDaemons);
    });
    add("back-ends-stopped", &|scenario| {
        scenario.seconds = 40.0;
        scenario.backends = 12;
        scenario.events = vec![(2.0, Event::StopBackends), (37.0, Event::ContinueBackends)];
    });
    add("answering-back-ends-stopped", &|scenario| {
        scenario.seconds = 40.0;
        scenario.backends = 12;
        scenario.behaviour = BackendBehaviour::Lose(5);
        scenario.events = vec![(2.0, Event::StopBackends), (37.0, Event::ContinueBackends)];
    });
    add("answering-back-ends-stopped-again-and-again", &|scenario| {
        scenario.seconds = 60.0;
        scenario.backends = 12;
        scenario.behaviour = BackendBehaviour::Lose(5);
        scenario.requests_per_second = 120.0;
        scenario.events = every(8.0, 60.0, Event::StopBackends);
        let continues = every(8.0, 60.0, Event::ContinueBackends);
        scenario
            .events
            .extend(continues.into_iter().map(|(at, event)| (at + 7.0, event)));
    });
    let fatal = |scenario: &mut Scenario| {
        scenario.daemons = 5;
        scenario.initial_daemons = 5;
        scenario.backends = 40;
        // 21 is no multiple of five, so that all five daemons get the request in turn.
        scenario.behaviour = BackendBehaviour::CrashOnOneOf(21);
        scenario.seconds = 12.0;
        scenario.events = (2..22u8)
            .map(|number| (f64::from(number) * 0.5, Event::KillDaemon(number % 5)))
            .collect();
    };
    add("deadly-daemons-killed-in-turn", &fatal);
    add("deadly-both-killed", &|scenario| {
        fatal(scenario);
        scenario.events.push((6.2, Event::KillControl));
    });
    let limited = |scenario: &mut Scenario| {
        scenario.behaviour = BackendBehaviour::ReportLimit(1);
        scenario.requests_per_second = 190.0;
        scenario.seconds = 16.0;
    };
    let in_turn = |seconds: f64| {
        let count = (seconds / 0.25) as u8;
        let moments = (0..count).map(|number| {
            let at = f64::from(number) * 0.25;
            (at, Event::KillDaemon(number % 12))
        });
        moments.collect::<Vec<_>>()
    };
    add("limited", &limited);
    add("all-limited", &|scenario| {
        limited(scenario);
        scenario.behaviour = BackendBehaviour::ReportLimit(scenario.backends);
    });
    add("limited-many-daemons", &|scenario| {
        limited(scenario);
        scenario.daemons = 24;
        scenario.initial_daemons = 24;
    });
    add("limited-daemons-killed-in-turn", &|scenario| {
        limited(scenario);
        scenario.events = in_turn(scenario.seconds);
    });
    add("limited-control-killed", &|scenario| {
        limited(scenario);
        scenario.events = every(4.0, scenario.seconds, Event::KillControl);
    });
    add("limited-both-killed", &|scenario| {
        limited(scenario);
        scenario.events = in_turn(scenario.seconds);
        scenario
            .events
            .extend(every(4.0, scenario.seconds, Event::KillControl));
    });
    add("limited-processes-stopped", &|scenario| {
        limited(scenario);
        scenario.events = vec![
            (5.0, Event::StopControl),
            (6.0, Event::StopDaemons),
            (8.0, Event::ContinueDaemons),
            (10.0, Event::ContinueControl),
            (11.0, Event::KillDaemon(3)),
            (11.2, Event::StopDaemons),
            (12.5, Event::ContinueDaemons),
        ];
    });
    scenarios
        .into_iter()
        .map(|scenario| (scenario.name.clone(), scenario))
        .collect()
}
