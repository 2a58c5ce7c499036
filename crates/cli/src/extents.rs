//! `magpiewick extents`: asks a map service over the wire.

use clap::Subcommand;
use magpiewick_node_protocol::{
    decode, encode, Decoded, Hello, MapEntry, MapEntryKind, Message, MigrationStage, Role, LONG_AGO,
};
use std::io::{self, ErrorKind, Read as _, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Subcommand)]
pub enum Ask {
    /// Print the map: volume, start, end, shard, version
    Show {
        /// Only this volume
        #[arg(long)]
        volume: Option<u64>,
    },
    /// Move the extent that starts here to a shard, and wait until that is over
    Move {
        #[arg(long)]
        volume: u64,
        #[arg(long)]
        start: u64,
        #[arg(long)]
        to: u32,
    },
    /// Give an extent's move up, if it has not been switched yet
    Abandon {
        #[arg(long)]
        volume: u64,
        #[arg(long)]
        start: u64,
    },
    /// Print changes of the map as they come, for so many seconds
    Follow {
        #[arg(long, default_value_t = 60)]
        seconds: u64,
    },
}

/// A shard that no node holds: the service only tells how far a move is.
const TELL: u32 = u32::MAX;

struct Service {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Service {
    fn say(&mut self, message: &Message) -> io::Result<()> {
        let mut bytes = Vec::new();
        encode(message, &mut bytes);
        self.stream.write_all(&bytes)
    }

    /// Hands messages on until `each` has what it wants.
    fn hear<T>(&mut self, mut each: impl FnMut(&Message) -> Option<T>) -> io::Result<T> {
        loop {
            match decode(&self.bytes).map_err(|fault| io::Error::new(ErrorKind::InvalidData, fault))? {
                Decoded::Frame(message, n) => {
                    let found = each(&message);
                    self.bytes.drain(..n);
                    if let Some(found) = found {
                        return Ok(found);
                    }
                }
                Decoded::Skipped(n) => _ = self.bytes.drain(..n),
                Decoded::Incomplete => {
                    let mut piece = [0; 1 << 16];
                    match self.stream.read(&mut piece)? {
                        0 => return Err(io::Error::new(ErrorKind::UnexpectedEof, "the service closed")),
                        n => self.bytes.extend_from_slice(&piece[..n]),
                    }
                }
            }
        }
    }

    fn state(
        &mut self,
        volume: u64,
        start: u64,
        shard: u32,
        abandon: bool,
    ) -> io::Result<(u32, u32, MigrationStage)> {
        self.say(&Message::Migrate { volume, start, shard, abort: abandon })?;
        self.hear(|m| match m {
            Message::MigrationState { from, to, stage, .. } => Some((*from, *to, *stage)),
            _ => None,
        })
    }
}

/// Does what was asked; false where the service did not do it.
pub fn run(address: SocketAddr, ask: &Ask) -> io::Result<bool> {
    let mut service =
        Service { stream: TcpStream::connect_timeout(&address, Duration::from_secs(5))?, bytes: Vec::new() };
    service.stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    service.say(&Message::Hello(Hello::new(Role::Client, 0, 0, LONG_AGO)))?;
    match ask {
        Ask::Show { volume } => {
            service.say(&Message::WatchMap)?;
            let mut lines = vec![["volume", "start", "end", "shard", "version"].map(str::to_string)];
            service.hear(|m| {
                let Message::ExtentMap(news) = m else { return None };
                let wanted = news.entries.iter().filter(|l| volume.is_none_or(|v| v == l.volume));
                let fields = |l: &MapEntry| [l.volume, l.start, l.position, l.shard.into(), l.version.into()];
                lines.extend(wanted.map(|l| fields(l).map(|f| f.to_string())));
                news.last.then_some(())
            })?;
            let shown: String = lines
                .iter()
                .map(|[a, b, c, d, e]| format!("{a:>10} {b:>12} {c:>12} {d:>6} {e:>8}\n"))
                .collect();
            match io::stdout().write_all(shown.as_bytes()) {
                // Whoever read the first lines had enough.
                Err(e) if e.kind() != ErrorKind::BrokenPipe => Err(e),
                _ => Ok(true),
            }
        }
        Ask::Move { volume, start, to } => {
            let (from, to, mut stage) = service.state(*volume, *start, *to, false)?;
            if stage == MigrationStage::Idle {
                println!(
                    "not moved: there is no such extent, it lies there already, or no node holds that shard"
                );
                return Ok(false);
            }
            println!("moving from shard {from} to shard {to}");
            while stage != MigrationStage::Idle {
                std::thread::sleep(Duration::from_millis(50));
                let now = service.state(*volume, *start, TELL, false)?;
                if now.2 != stage {
                    println!("{}", now.2);
                }
                stage = now.2;
                if stage == MigrationStage::Idle {
                    return Ok(now.0 == to);
                }
            }
            Ok(true)
        }
        Ask::Abandon { volume, start } => {
            let (_, _, stage) = service.state(*volume, *start, 0, true)?;
            println!("{stage}");
            Ok(stage == MigrationStage::Aborted)
        }
        Ask::Follow { seconds } => {
            service.stream.set_read_timeout(Some(Duration::from_secs(*seconds)))?;
            service.say(&Message::WatchMap)?;
            let until = std::time::Instant::now() + Duration::from_secs(*seconds);
            let followed = service.hear(|m| {
                if let Message::ExtentMap(news) = m {
                    for l in news.entries.iter().filter(|l| l.kind != MapEntryKind::Extent) {
                        println!(
                            "epoch {} {:?} volume {} start {} shard {} version {}",
                            news.epoch, l.kind, l.volume, l.start, l.shard, l.version
                        );
                    }
                }
                (std::time::Instant::now() >= until).then_some(true)
            });
            match followed {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(true),
                other => other,
            }
        }
    }
}
