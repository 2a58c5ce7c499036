use super::*;

#[test]
fn only_network_errors_are_blamed_on_the_peer() {
    let of = |errno: Errno| error_origin(&io::Error::from(errno));
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::NETUNREACH, Errno::TIMEDOUT] {
        assert_eq!(of(errno), ErrorOrigin::Remote, "{errno:?}");
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL] {
        assert_eq!(of(errno), ErrorOrigin::Local, "{errno:?}");
    }
}

#[test]
fn only_missing_descriptors_are_classified_as_such() {
    let of = |errno: Errno| accept_error(&io::Error::from(errno));
    assert_eq!(of(Errno::AGAIN), AcceptError::Empty);
    for errno in [Errno::MFILE, Errno::NFILE] {
        assert_eq!(of(errno), AcceptError::OutOfDescriptors);
    }
    for errno in [Errno::CONNABORTED, Errno::INTR, Errno::PROTO, Errno::PERM, Errno::NETUNREACH] {
        assert_eq!(of(errno), AcceptError::ConnectionFailed, "{errno:?}");
    }
    for errno in [Errno::NOBUFS, Errno::NOMEM] {
        assert_eq!(of(errno), AcceptError::OutOfResources, "{errno:?}");
    }
}
