//! The plays, by name.

use std::collections::BTreeMap;

use crate::play::{Backends, Event, Play};

/// A deployment to which nothing happens.
pub fn quiet(name: &str) -> Play {
    Play {
        name: name.to_owned(),
        daemons: 12,
        started: 12,
        backends: 6,
        behaviour: Backends::Fail,
        requests_per_second: 60.0,
        seconds: 10.0,
        events: Vec::new(),
        extra: 64.0,
    }
}

/// The same event again and again.
pub fn every(seconds: f64, until: f64, event: Event) -> Vec<(f64, Event)> {
    let count = (until / seconds) as usize;
    (1..=count)
        .map(|number| (seconds * number as f64, event))
        .filter(|(at, _)| *at < until)
        .collect()
}

/// All plays by name.
pub fn plays() -> BTreeMap<String, Play> {
    let mut plays = Vec::new();
    let mut add = |name: &str, change: &dyn Fn(&mut Play)| {
        let mut play = quiet(name);
        change(&mut play);
        play.events
            .sort_by(|left, right| left.0.total_cmp(&right.0));
        plays.push(play);
    };
    add("quiet", &|_| {});
    add("control-killed", &|play| {
        play.events = every(2.5, 10.0, Event::KillControl);
    });
    add("daemons-killed-slowly", &|play| {
        play.events = every(3.0, 10.0, Event::KillDaemons);
    });
    add("daemons-killed", &|play| {
        play.events = every(1.5, 10.0, Event::KillDaemons);
    });
    add("both-killed", &|play| {
        play.events = every(3.5, 10.0, Event::KillDaemons);
        play.events.extend(every(3.5, 10.0, Event::KillControl));
    });
    add("daemons-killed-in-turn", &|play| {
        play.seconds = 14.0;
        play.events = (0..48u8)
            .map(|number| (f64::from(number) * 0.25, Event::KillDaemon(number % 12)))
            .collect();
    });
    add("busy-daemons-killed", &|play| {
        play.requests_per_second = 550.0;
        play.events = every(3.0, 10.0, Event::KillDaemons);
    });
    add("started-one-by-one", &|play| {
        play.started = 0;
        play.events = (0..12u8)
            .map(|number| (f64::from(number) * 0.3, Event::StartDaemon(number)))
            .collect();
    });
    add("started-beside-stopped-control", &|play| {
        play.events = vec![
            (0.5, Event::StopControl),
            (1.0, Event::KillDaemons),
            (8.0, Event::ContinueControl),
        ];
    });
    add("daemons-killed-while-control-starts", &|play| {
        play.events = every(2.0, 10.0, Event::KillControl);
        play.events.extend(every(2.0, 10.0, Event::KillDaemons));
    });
    add("daemons-stopped", &|play| {
        play.seconds = 20.0;
        play.events = every(4.0, 20.0, Event::StopDaemons);
        let going_on = every(4.0, 20.0, Event::ContinueDaemons);
        play.events
            .extend(going_on.into_iter().map(|(at, event)| (at + 2.0, event)));
    });
    add("many-daemons", &|play| {
        play.daemons = 80;
        play.started = 80;
        play.requests_per_second = 80.0;
    });
    add("many-daemons-killed", &|play| {
        play.daemons = 80;
        play.started = 80;
        play.requests_per_second = 80.0;
        play.events = every(5.0, 10.0, Event::KillDaemons);
    });
    add("few-daemons-killed", &|play| {
        play.daemons = 3;
        play.started = 3;
        play.events = every(2.0, 10.0, Event::KillDaemons);
    });
    add("back-ends-stopped", &|play| {
        play.seconds = 40.0;
        play.backends = 12;
        play.events = vec![(2.0, Event::StopBackends), (37.0, Event::ContinueBackends)];
    });
    add("answering-back-ends-stopped", &|play| {
        play.seconds = 40.0;
        play.backends = 12;
        play.behaviour = Backends::Lose(5);
        play.events = vec![(2.0, Event::StopBackends), (37.0, Event::ContinueBackends)];
    });
    add("answering-back-ends-stopped-again-and-again", &|play| {
        play.seconds = 60.0;
        play.backends = 12;
        play.behaviour = Backends::Lose(5);
        play.requests_per_second = 120.0;
        play.events = every(8.0, 60.0, Event::StopBackends);
        let going_on = every(8.0, 60.0, Event::ContinueBackends);
        play.events
            .extend(going_on.into_iter().map(|(at, event)| (at + 7.0, event)));
    });
    let deadly = |play: &mut Play| {
        play.daemons = 5;
        play.started = 5;
        play.backends = 40;
        // All five daemons get it by turns.
        play.behaviour = Backends::EndUnderOneOf(21);
        play.seconds = 12.0;
        play.events = (2..22u8)
            .map(|number| (f64::from(number) * 0.5, Event::KillDaemon(number % 5)))
            .collect();
    };
    add("deadly-daemons-killed-in-turn", &deadly);
    add("deadly-both-killed", &|play| {
        deadly(play);
        play.events.push((6.2, Event::KillControl));
    });
    let limited = |play: &mut Play| {
        play.behaviour = Backends::NameLimit(1);
        play.requests_per_second = 190.0;
        play.seconds = 16.0;
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
    add("all-limited", &|play| {
        limited(play);
        play.behaviour = Backends::NameLimit(play.backends);
    });
    add("limited-many-daemons", &|play| {
        limited(play);
        play.daemons = 24;
        play.started = 24;
    });
    add("limited-daemons-killed-in-turn", &|play| {
        limited(play);
        play.events = in_turn(play.seconds);
    });
    add("limited-control-killed", &|play| {
        limited(play);
        play.events = every(4.0, play.seconds, Event::KillControl);
    });
    add("limited-both-killed", &|play| {
        limited(play);
        play.events = in_turn(play.seconds);
        play.events
            .extend(every(4.0, play.seconds, Event::KillControl));
    });
    add("limited-processes-stopped", &|play| {
        limited(play);
        play.events = vec![
            (5.0, Event::StopControl),
            (6.0, Event::StopDaemons),
            (8.0, Event::ContinueDaemons),
            (10.0, Event::ContinueControl),
            (11.0, Event::KillDaemon(3)),
            (11.2, Event::StopDaemons),
            (12.5, Event::ContinueDaemons),
        ];
    });
    plays
        .into_iter()
        .map(|play| (play.name.clone(), play))
        .collect()
}
