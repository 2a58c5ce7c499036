//! Whether what a client asks is a request, by the settings; free of I/O.

use magpiewick::Ms;
use magpiewick_engine::IncomingRequest;
use magpiewick_http1::{Rejection, RequestHead};
use magpiewick_instance_settings::PlatformSettings;

/// No client waits longer, and no volume comes through more hosts.
const MAX_CLIENT_TIMEOUT_MS: Ms = 3_600_000.0;
const MAX_HOSTS: f64 = 65_536.0;
/// Longer ids are none of the platform's.
const MAX_ID_BYTES: usize = 64;

const STATUS_BAD_REQUEST: u16 = 400;

fn bad<T>(reason: &'static str) -> Result<T, Rejection> {
    Err(Rejection { status: STATUS_BAD_REQUEST, reason })
}

/// The one value of a field that must stand there.
fn needed<'a>(request: &RequestHead<'a>, name: &str, reason: &'static str) -> Result<&'a str, Rejection> {
    let Ok(Some(value)) = request.headers.single(name) else { return bad(reason) };
    std::str::from_utf8(value).or_else(|_| bad(reason))
}

/// The request's id, byte for byte.
pub fn id<'a>(request: &RequestHead<'a>) -> Result<&'a str, Rejection> {
    let id = needed(request, "x-request-id", "there must be one X-Request-Id")?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    match id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(plain) {
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
    number(digits).map(|n| n * unit).filter(|t| *t <= MAX_CLIENT_TIMEOUT_MS)
}

fn shard_of(text: &str, settings: &PlatformSettings) -> Option<usize> {
    let number: u16 = Some(text).filter(|t| t.bytes().all(|b| b.is_ascii_digit()))?.parse().ok()?;
    Some(usize::from(number)).filter(|n| settings.shards.is_none_or(|shards| *n < shards))
}

/// Size, shard (none for a new object) and number of hosts.
fn placement(text: &str, settings: &PlatformSettings) -> Option<(f64, Option<usize>, f64)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for part in text.split(',') {
        let (name, value) = part.split_once('=')?;
        let value = value.trim();
        let before = match name.trim() {
            "units" => {
                units.replace(number(value).filter(|u| *u > 0.0 && *u <= settings.max_units)?).is_some()
            }
            "shard" if value == "-1" => shard.replace(None).is_some(),
            "shard" => shard.replace(Some(shard_of(value, settings)?)).is_some(),
            "hosts" => hosts.replace(number(value).filter(|h| (1.0..=MAX_HOSTS).contains(h))?).is_some(),
            // What later versions of the platform add is left alone.
            _ => false,
        };
        if before {
            return None;
        }
    }
    Some((units?, shard?, hosts?))
}

/// The request that a request with a body of so many bytes asks for; `used` of its time is over already.
pub fn request(
    head: &RequestHead,
    bytes: usize,
    settings: &PlatformSettings,
    used: Ms,
    number: u64,
) -> Result<IncomingRequest, Rejection> {
    let Some((volume, key)) = place(head.target) else {
        return Err(Rejection { status: 404, reason: "the path names no volume and piece" });
    };
    let class = needed(head, "x-class", "there must be one X-Class")?;
    let Some(class) = settings.classes.iter().position(|b| b.name == class) else {
        return bad("the X-Class is not known here");
    };
    let plan = needed(head, "x-qos-policy", "there must be one X-Qos-Policy")?;
    let Some(plan) = settings.plans.iter().position(|p| *p == plan) else {
        return bad("the X-Qos-Policy is not known here");
    };
    let fits = match head.method {
        "GET" => bytes == 0 && settings.classes[class].writes != Some(true),
        "PUT" => settings.classes[class].writes != Some(false),
        _ => false,
    };
    if !fits {
        return Err(Rejection { status: 405, reason: "the method does not fit the X-Class" });
    }
    let limit = needed(head, "x-deadline", "there must be one X-Deadline")?;
    let Some(limit) = time(limit) else { return bad("the X-Deadline is no time") };
    let placed = needed(head, "x-placement", "there must be one X-Placement")?;
    let Some((units, shard, hosts)) = placement(placed, settings) else {
        return bad("the X-Placement is malformed");
    };
    let request = magpiewick::Request {
        class,
        plan,
        volume: 0,
        key: None,
        units,
        shard,
        hosts,
        // Some clients name a little more than their class's time. One such would make the module, which knows
        // later tries by their shorter time, take every first try after it for a later one.
        client_timeout: limit.min(settings.classes[class].client_timeout) - used,
        counts: 1.0,
        with: None,
    };
    Ok(IncomingRequest { id: number, key, volume, request })
}

#[cfg(test)]
mod tests;
