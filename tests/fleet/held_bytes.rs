//! Tests of the bound on request bodies in memory.

use curranthollow::fleet::relay::held_bytes::HeldBytes;

/// Memory that an entry may spend on bodies, on a machine with 160 MB.
const MAX_TOTAL: usize = 80 << 20;

/// Guards against a sum of bodies that exceeds the memory, and against one that is never given back.
#[test]
fn the_sum_of_all_bodies_is_bounded() {
    let held_bytes = HeldBytes::of_requests();
    let mut random = fastrand::Rng::with_seed(5);
    let mut shares = Vec::new();
    for _ in 0..1000 {
        let mut share = held_bytes.new_share();
        let mut bytes = 0;
        while random.u8(..8) > 0 {
            bytes += random.usize(..8 << 20);
            if !share.grow_to(bytes) {
                break;
            }
        }
        shares.push(share);
        assert!(held_bytes.total() <= MAX_TOTAL, "{} bytes are held", held_bytes.total());
        if random.bool() {
            shares.swap_remove(random.usize(..shares.len()));
        }
    }
    drop(shares);
    assert_eq!(held_bytes.total(), 0);
}

/// Guards against a bound below the largest body that the platform allows.
#[test]
fn one_body_of_the_largest_size_fits() {
    assert!(HeldBytes::of_requests().new_share().grow_to(64 << 20));
}
