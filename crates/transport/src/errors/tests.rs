use super::*;

#[test]
fn only_network_errors_have_a_remote_origin() {
    let classify = |errno: Errno| error_origin(&io::Error::from(errno));
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::NETUNREACH, Errno::TIMEDOUT] {
        assert_eq!(classify(errno), ErrorOrigin::Remote, "{errno:?}");
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL] {
        assert_eq!(classify(errno), ErrorOrigin::Local, "{errno:?}");
    }
}

#[test]
fn accept_errors_are_classified_by_their_cause() {
    let classify = |errno: Errno| accept_error(&io::Error::from(errno));
    assert_eq!(classify(Errno::AGAIN), AcceptError::Empty);
    for errno in [Errno::MFILE, Errno::NFILE] {
        assert_eq!(classify(errno), AcceptError::OutOfDescriptors);
    }
    for errno in [Errno::CONNABORTED, Errno::INTR, Errno::PROTO, Errno::PERM, Errno::NETUNREACH] {
        assert_eq!(classify(errno), AcceptError::ConnectionFailed, "{errno:?}");
    }
    for errno in [Errno::NOBUFS, Errno::NOMEM] {
        assert_eq!(classify(errno), AcceptError::OutOfResources, "{errno:?}");
    }
}
