//! Tests how the descriptors are divided between clients and targets.

use roseproxy_transport::budget::{Budget, RESERVED_DESCRIPTORS};

#[test]
fn clients_get_more_than_the_third_that_they_may_hold() {
    for sockets in [64, 96, 128, 256, 1024, 4096] {
        let (clients, targets) = Budget::split(sockets);
        assert!(clients.limit() > sockets / 3, "{sockets}: {}", clients.limit());
        assert!(targets.limit() >= 8, "{sockets}: {}", targets.limit());
        assert!(clients.limit() + targets.limit() + RESERVED_DESCRIPTORS <= sockets);
    }
    assert_eq!(Budget::split(256).0.limit(), 96);
}
