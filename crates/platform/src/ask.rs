//! Whether what a client asks is a command, by the settings; free of I/O.

use magpiewick::{Command, Ms};
use magpiewick_desk::Taken;
use magpiewick_facts::Door;
use magpiewick_http1::{Refused, Request};

/// No client waits longer, and no volume comes through more hosts.
const MOST_WAIT: Ms = 3_600_000.0;
const MOST_HOSTS: f64 = 65_536.0;
/// Longer ids are none of the platform's.
const MOST_ID: usize = 64;

const MALFORMED: u16 = 400;

fn bad<T>(why: &'static str) -> Result<T, Refused> {
    Err(Refused { status: MALFORMED, why })
}

/// The one value of a field that must stand there.
fn needed<'a>(request: &Request<'a>, name: &str, why: &'static str) -> Result<&'a str, Refused> {
    let Ok(Some(value)) = request.fields.one(name) else { return bad(why) };
    std::str::from_utf8(value).or_else(|_| bad(why))
}

/// The request's id, byte for byte.
pub fn id<'a>(request: &Request<'a>) -> Result<&'a str, Refused> {
    let id = needed(request, "x-request-id", "there must be one X-Request-Id")?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    match id.is_empty() || id.len() > MOST_ID || !id.bytes().all(plain) {
        true => bad("the X-Request-Id is malformed"),
        false => Ok(id),
    }
}

fn hex(part: &str) -> Option<u64> {
    let good = part.len() == 16 && part.bytes().all(|b| b.is_ascii_hexdigit());
    good.then(|| u64::from_str_radix(part, 16).ok())?
}

/// The volume and the piece that a path ends with.
fn place(target: &str) -> Option<(u64, u64)> {
    let path = target.split('?').next()?;
    let mut parts = path.rsplit('/');
    let (piece, volume) = (hex(parts.next()?)?, hex(parts.next()?)?);
    // Something must stand before them, if only the path's first slash.
    parts.next()?;
    path.starts_with('/').then_some((volume, piece))
}

/// Plain digits with at most one point, so that no sign, exponent or word passes for a number.
fn number(text: &str) -> Option<f64> {
    let good = text.len() <= 15 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    good.then(|| text.parse().ok())?
}

/// A time with its unit.
fn time(text: &str) -> Option<Ms> {
    let (digits, unit) = match text.as_bytes().last()? {
        b'm' => (&text[..text.len() - 1], 1.0),
        b'u' => (&text[..text.len() - 1], 0.001),
        _ => return None,
    };
    number(digits).map(|n| n * unit).filter(|t| *t <= MOST_WAIT)
}

fn shard_of(text: &str, door: &Door) -> Option<usize> {
    let number: u16 = Some(text).filter(|t| t.bytes().all(|b| b.is_ascii_digit()))?.parse().ok()?;
    Some(usize::from(number)).filter(|n| door.shards.is_none_or(|shards| *n < shards))
}

/// Size, shard (none for a new object) and number of hosts.
fn placement(text: &str, door: &Door) -> Option<(f64, Option<usize>, f64)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for part in text.split(',') {
        let (name, value) = part.split_once('=')?;
        let value = value.trim();
        let before = match name.trim() {
            "units" => units.replace(number(value).filter(|u| *u > 0.0 && *u <= door.most_units)?).is_some(),
            "shard" if value == "-1" => shard.replace(None).is_some(),
            "shard" => shard.replace(Some(shard_of(value, door)?)).is_some(),
            "hosts" => hosts.replace(number(value).filter(|h| (1.0..=MOST_HOSTS).contains(h))?).is_some(),
            // What later versions of the platform add is left alone.
            _ => false,
        };
        if before {
            return None;
        }
    }
    Some((units?, shard?, hosts?))
}

/// The command that a request asks for; `used` of its time is over already.
pub fn command(request: &Request, door: &Door, used: Ms, number: u64) -> Result<Taken, Refused> {
    let Some((volume, key)) = place(request.target) else {
        return Err(Refused { status: 404, why: "the path names no volume and piece" });
    };
    let band = needed(request, "x-class", "there must be one X-Class")?;
    let Some(band) = door.bands.iter().position(|b| b.name == band) else {
        return bad("the X-Class is not known here");
    };
    let plan = needed(request, "x-qos-policy", "there must be one X-Qos-Policy")?;
    let Some(plan) = door.plans.iter().position(|p| *p == plan) else {
        return bad("the X-Qos-Policy is not known here");
    };
    let fits = match request.method {
        "GET" => request.body == 0 && door.bands[band].writes != Some(true),
        "PUT" => door.bands[band].writes != Some(false),
        _ => false,
    };
    if !fits {
        return Err(Refused { status: 405, why: "the method does not fit the X-Class" });
    }
    let limit = needed(request, "x-deadline", "there must be one X-Deadline")?;
    let Some(limit) = time(limit) else { return bad("the X-Deadline is no time") };
    let placed = needed(request, "x-placement", "there must be one X-Placement")?;
    let Some((units, shard, hosts)) = placement(placed, door) else {
        return bad("the X-Placement is malformed");
    };
    let command = Command {
        band,
        plan,
        volume: 0,
        key: None,
        units,
        shard,
        hosts,
        // Some clients name a little more than their band's time. One such would make the module, which knows
        // later tries by their shorter time, take every first try after it for a later one.
        time_limit: limit.min(door.bands[band].time_limit) - used,
        counts: 1.0,
        with: None,
    };
    Ok(Taken { id: number, key, volume, command })
}

#[cfg(test)]
mod tests {
    use super::*;
    use magpiewick_facts::DoorBand;
    use quickcheck::quickcheck;

    fn door() -> Door {
        let band = |name: &str, writes| DoorBand { name: name.to_string(), time_limit: 1000.0, writes };
        Door {
            bands: vec![band("read", Some(false)), band("write", Some(true))],
            plans: vec!["basic".to_string(), "gold".to_string()],
            zones: Vec::new(),
            shards: Some(8),
            most_units: 6.0,
            dial: None,
            idle: None,
        }
    }

    const GOOD: &str = "PUT /api/00000003b4d60021/7f3a9c21e0b4d655?v=1 HTTP/1.1\r\nHost: h\r\n\
        X-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: write\r\nX-Qos-Policy: gold\r\nX-Deadline: 480m\r\n\
        Content-Length: 3\r\nX-Placement: units=2,shard=5,hosts=3\r\n\r\n";

    /// The status that is given to a request; 0: it is a command.
    fn status(head: &str) -> u16 {
        let read = magpiewick_http1::request(head.as_bytes()).unwrap_or_else(|r| panic!("{head}: {}", r.why));
        let command = id(&read).and_then(|_| command(&read, &door(), 0.0, 1));
        command.map_or_else(|refused| refused.status, |_| 0)
    }

    #[test]
    fn a_command_is_what_the_fields_say() {
        let read = magpiewick_http1::request(GOOD.as_bytes()).unwrap();
        assert_eq!(id(&read), Ok("9b1f03aa5c7e2d41"));
        let taken = command(&read, &door(), 30.0, 9).unwrap();
        assert_eq!((taken.id, taken.volume, taken.key), (9, 0x3b4d60021, 0x7f3a9c21e0b4d655));
        let c = taken.command;
        assert_eq!((c.band, c.plan, c.units, c.shard, c.hosts), (1, 1, 2.0, Some(5), 3.0));
        assert_eq!(c.time_limit, 450.0, "what the client has waited is gone");
        let new = GOOD.replace("shard=5", "shard=-1").replace("480m", "480000u");
        let read = magpiewick_http1::request(new.as_bytes()).unwrap();
        let c = command(&read, &door(), 0.0, 9).unwrap().command;
        assert_eq!((c.shard, c.time_limit), (None, 480.0));
        let long = GOOD.replace("480m", "1009m");
        let read = magpiewick_http1::request(long.as_bytes()).unwrap();
        let c = command(&read, &door(), 20.0, 9).unwrap().command;
        assert_eq!(c.time_limit, 980.0, "no client waits longer than its band's time");
    }

    #[test]
    fn what_is_no_command_is_refused_and_never_as_a_bounce() {
        for (from, to) in [
            ("X-Request-Id: 9b1f03aa5c7e2d41\r\n", ""),
            ("9b1f03aa5c7e2d41", ""),
            ("9b1f03aa5c7e2d41", "9b1f 3aa5"),
            ("9b1f03aa5c7e2d41", "9b1f\u{e9}"),
            ("X-Request-Id: 9b1f03aa5c7e2d41", "X-Request-Id: a\r\nX-Request-Id: b"),
            ("X-Class: write", "X-Class: odd"),
            ("X-Class: write", "X-Class: read"),
            ("X-Class: write\r\n", ""),
            ("gold", "lead"),
            ("480m", "480"),
            ("480m", "-480m"),
            ("480m", "soon"),
            ("480m", "NaNm"),
            ("480m", "infm"),
            ("480m", "1e3m"),
            ("480m", "m"),
            ("480m", "999999999999m"),
            ("X-Deadline: 480m\r\n", ""),
            ("units=2", "units=0"),
            ("units=2", "units=7"),
            ("units=2", "units=x"),
            ("units=2,", ""),
            ("units=2", "units=2,units=2"),
            ("shard=5", "shard=8"),
            ("shard=5", "shard=-2"),
            ("shard=5", "shard=+5"),
            ("shard=5", "shard=99999999999"),
            ("hosts=3", "hosts=0"),
            ("hosts=3", "hosts=1e9"),
            ("hosts=3", "hosts"),
            ("00000003b4d60021", "3b4d60021"),
            ("7f3a9c21e0b4d655", "7f3a9c21e0b4d65x"),
            ("/7f3a9c21e0b4d655", ""),
            ("PUT", "POST"),
        ] {
            let head = GOOD.replace(from, to);
            assert!(matches!(status(&head), 400..=428), "{to:?} for {from:?}: {}", status(&head));
        }
        assert_eq!(status(GOOD), 0);
    }

    #[test]
    fn a_read_has_no_body() {
        let read = GOOD.replace("PUT", "GET").replace("X-Class: write", "X-Class: read");
        assert_eq!(status(&read), 405);
        assert_eq!(status(&read.replace("Content-Length: 3\r\n", "")), 0);
        assert_eq!(status(&read.replace("Content-Length: 3", "Content-Length: 0")), 0);
    }

    quickcheck! {
        fn no_text_makes_a_time_or_place_that_is_none(text: String) -> bool {
            let good = |t: f64| (0.0..=MOST_WAIT).contains(&t);
            time(&text).is_none_or(good) && time(&format!("{text}m")).is_none_or(good)
                && placement(&text, &door()).is_none_or(|(u, s, h)| u > 0.0 && s.is_none_or(|s| s < 8) && h >= 1.0)
                && (place(&text).is_none() || text.starts_with('/'))
        }
    }
}
