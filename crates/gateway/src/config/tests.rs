use super::*;

fn read(extra_blocks: &str) -> Result<HostConfig, String> {
    let text = format!(
        "host {{\n  hosts = 2\n}}\nband \"read\" {{\n  soft_limit = \"1s\"\n  time_limit = \"2s\"\n  \
         repeats = \"retriable\"\n}}\nplan \"all\" {{\n  rate = 10\n}}\n{extra_blocks}"
    );
    let read = magpiewick_hcl_settings::read_text("f", &text, |r| read_host_config(r, 1));
    read.map(|config| config.unwrap()).map_err(|errors| errors.to_string())
}

#[test]
fn gossip_addresses_require_a_host_number_and_a_distinct_address() {
    let peer = |label: &str, address: &str| format!("peer \"{label}\" {{\n  address = \"{address}\"\n}}\n");
    assert!(read("").unwrap().gossip_addresses.is_empty());
    let both = [peer("0", "127.0.0.1:7500"), peer("1", "127.0.0.1:7501")].concat();
    assert_eq!(read(&both).unwrap().gossip_addresses.into_keys().collect::<Vec<_>>(), [0, 1]);
    let errors = [
        (peer("2", "127.0.0.1:7500"), "f:12:", "expected a host's number, 0 to 1"),
        (peer("01", "127.0.0.1:7500"), "f:12:", "expected a host's number, 0 to 1"),
        (peer("0", "127.0.0.1:0"), "f:13:", "expected one that other hosts can send to"),
        (peer("0", "here"), "f:13:", "expected an address and port"),
        ([peer("0", "127.0.0.1:7500"), peer("1", "127.0.0.1:7500")].concat(), "f:16:", "a second peer at"),
    ];
    for (extra_blocks, position, expected) in errors {
        let message = read(&extra_blocks).unwrap_err();
        assert!(message.contains(position) && message.contains(expected), "{message}");
    }
}
