//! Validation and parsing of the headers of a client's request; free of I/O.

use magpiewick::Ms;
use magpiewick_engine::IncomingRequest;
use magpiewick_http1::{self as http1, Rejection, RequestHead};
use magpiewick_instance_settings::PlatformSettings;

/// Limit of a client timeout.
const MAX_CLIENT_TIMEOUT_MS: Ms = 3_600_000.0;
/// Limit of the hosts through which a volume is used.
const MAX_HOSTS: f64 = 65_536.0;
/// Limit of the length of a request id.
const MAX_ID_BYTES: usize = 64;
/// Limit of the length of a decimal number in a header.
const MAX_NUMBER_BYTES: usize = 15;
/// Length of the id of a volume or of a piece in hexadecimal digits.
const PATH_ID_DIGITS: usize = 16;

/// Headers that are forwarded to an endpoint unchanged.
const FORWARDED_HEADERS: [&str; 5] = ["Host", "X-Request-Id", "X-Class", "X-Qos-Policy", "X-Placement"];

const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_METHOD_NOT_ALLOWED: u16 = 405;

fn bad_request(reason: &'static str) -> Rejection {
    Rejection { status: STATUS_BAD_REQUEST, reason }
}

/// Returns the value of a header that is required exactly once.
fn required<'a>(head: &RequestHead<'a>, name: &str, reason: &'static str) -> Result<&'a str, Rejection> {
    let Ok(Some(value)) = head.headers.single(name) else { return Err(bad_request(reason)) };
    std::str::from_utf8(value).map_err(|_| bad_request(reason))
}

/// Returns the id that the client assigned to a request, byte for byte.
pub(crate) fn id<'a>(head: &RequestHead<'a>) -> Result<&'a str, Rejection> {
    let id = required(head, "x-request-id", "there must be one X-Request-Id")?;
    let is_id_byte = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    match id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(is_id_byte) {
        true => Err(bad_request("the X-Request-Id is malformed")),
        false => Ok(id),
    }
}

/// Volume and piece that are named by a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PathIds {
    volume: u64,
    piece: u64,
}

impl PathIds {
    /// Parses a path, whose last two segments are the volume and the piece, after at least one slash.
    fn parse(target: &str) -> Option<PathIds> {
        let path = target.split('?').next()?;
        let mut segments = path.rsplit('/');
        let piece = hex_id(segments.next()?)?;
        let volume = hex_id(segments.next()?)?;
        segments.next()?;
        path.starts_with('/').then_some(PathIds { volume, piece })
    }
}

fn hex_id(segment: &str) -> Option<u64> {
    let is_hex = segment.len() == PATH_ID_DIGITS && segment.bytes().all(|b| b.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(segment, 16).ok())?
}

/// Parses digits with at most one decimal point; signs, exponents and words are rejected.
fn decimal(text: &str) -> Option<f64> {
    let is_decimal = text.len() <= MAX_NUMBER_BYTES && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    is_decimal.then(|| text.parse().ok())?
}

/// Parses a time with its unit: `m` for milliseconds, `u` for microseconds.
fn time(text: &str) -> Option<Ms> {
    let (digits, unit) = match text.as_bytes().last()? {
        b'm' => (&text[..text.len() - 1], 1.0),
        b'u' => (&text[..text.len() - 1], 0.001),
        _ => return None,
    };
    decimal(digits).map(|number| number * unit).filter(|time| *time <= MAX_CLIENT_TIMEOUT_MS)
}

/// Target and size of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Placement {
    units: f64,
    /// Shard; none for a new object.
    shard: Option<usize>,
    /// Number of hosts through which the volume is used.
    hosts: f64,
}

impl Placement {
    fn parse(text: &str, settings: &PlatformSettings) -> Option<Placement> {
        let (mut units, mut shard, mut hosts) = (None, None, None);
        for part in text.split(',') {
            let (name, value) = part.split_once('=')?;
            let value = value.trim();
            let repeated = match name.trim() {
                "units" => units.replace(parse_units(value, settings)?).is_some(),
                "shard" if value == "-1" => shard.replace(None).is_some(),
                "shard" => shard.replace(Some(parse_shard(value, settings)?)).is_some(),
                "hosts" => hosts.replace(parse_hosts(value)?).is_some(),
                // Unknown names are ignored, because later versions of the platform may add some.
                _ => false,
            };
            if repeated {
                return None;
            }
        }
        Some(Placement { units: units?, shard: shard?, hosts: hosts? })
    }
}

fn parse_units(text: &str, settings: &PlatformSettings) -> Option<f64> {
    decimal(text).filter(|units| *units > 0.0 && *units <= settings.max_units)
}

fn parse_hosts(text: &str) -> Option<f64> {
    decimal(text).filter(|hosts| (1.0..=MAX_HOSTS).contains(hosts))
}

fn parse_shard(text: &str, settings: &PlatformSettings) -> Option<usize> {
    let number: u16 = Some(text).filter(|text| text.bytes().all(|b| b.is_ascii_digit()))?.parse().ok()?;
    let shard = usize::from(number);
    Some(shard).filter(|shard| settings.shards.is_none_or(|shards| *shard < shards))
}

/// Parses a request from its head and a body of `body_length` bytes. `waited`: part of the client timeout that has
/// already elapsed.
pub(crate) fn parse(
    head: &RequestHead<'_>,
    body_length: usize,
    settings: &PlatformSettings,
    waited: Ms,
    number: u64,
) -> Result<IncomingRequest, Rejection> {
    let Some(ids) = PathIds::parse(head.target) else {
        return Err(Rejection { status: STATUS_NOT_FOUND, reason: "the path names no volume and piece" });
    };
    let class_name = required(head, "x-class", "there must be one X-Class")?;
    let Some(class) = settings.classes.iter().position(|class| class.name == class_name) else {
        return Err(bad_request("the X-Class is not known here"));
    };
    let policy_name = required(head, "x-qos-policy", "there must be one X-Qos-Policy")?;
    let Some(policy) = settings.policies.iter().position(|policy| *policy == policy_name) else {
        return Err(bad_request("the X-Qos-Policy is not known here"));
    };
    let class_settings = &settings.classes[class];
    let fits_class = match head.method {
        "GET" => body_length == 0 && class_settings.writes != Some(true),
        "PUT" => class_settings.writes != Some(false),
        _ => false,
    };
    if !fits_class {
        let reason = "the method does not fit the X-Class";
        return Err(Rejection { status: STATUS_METHOD_NOT_ALLOWED, reason });
    }
    let deadline = required(head, "x-deadline", "there must be one X-Deadline")?;
    let Some(client_timeout) = time(deadline) else { return Err(bad_request("the X-Deadline is no time")) };
    let placement = required(head, "x-placement", "there must be one X-Placement")?;
    let Some(placement) = Placement::parse(placement, settings) else {
        return Err(bad_request("the X-Placement is malformed"));
    };
    let request = magpiewick::Request {
        class,
        policy,
        volume: 0,
        key: None,
        units: placement.units,
        shard: placement.shard,
        hosts: placement.hosts,
        // Some clients send a deadline slightly above their class's timeout. The scheduler recognises retries by their
        // shorter timeout, and without this limit would take the first requests of all other clients for retries.
        client_timeout: client_timeout.min(class_settings.client_timeout) - waited,
        budget_weight: 1.0,
        coalesce_with: None,
    };
    Ok(IncomingRequest { id: number, key: ids.piece, volume: ids.volume, request })
}

/// Returns the head for an endpoint without the deadline, which is added when the request is written.
pub(crate) fn upstream_head(head: &RequestHead<'_>, body_length: usize) -> Result<Vec<u8>, Rejection> {
    let single = |name, reason| head.headers.single(name).map_err(|_| bad_request(reason));
    let idempotency_key = single("idempotency-key", "there may be one Idempotency-Key")?;
    let length = body_length.to_string();
    let mut headers: Vec<(&str, &[u8])> = Vec::new();
    for name in FORWARDED_HEADERS {
        let value = single(name, "a field stands twice")?;
        headers.extend(value.map(|value| (name, value)));
    }
    headers.extend(idempotency_key.map(|value| ("Idempotency-Key", value)));
    if head.method != "GET" {
        headers.push(("Content-Length", length.as_bytes()));
    }
    let mut bytes = Vec::with_capacity(256);
    http1::write_request_head(&mut bytes, head.method, head.target, &headers);
    Ok(bytes)
}

#[cfg(test)]
mod tests;
