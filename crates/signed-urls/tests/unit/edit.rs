use super::*;

#[test]
fn a_rotation_lets_what_was_signed_live_for_the_overlap_and_signs_with_the_new_key() {
    for algorithm in [Algorithm::Hs256, Algorithm::EdDsa] {
        let first = with_key(None, new_key("a", algorithm, 0, u64::MAX).unwrap()).unwrap();
        let old = KeySet::read(first.as_bytes()).unwrap();
        let signature = old.signer(100).unwrap().sign(b"lesson").unwrap();
        let second = rotated(first.as_bytes(), new_key("b", algorithm, 100, 500).unwrap(), 100, 60).unwrap();
        let new = KeySet::read(second.as_bytes()).unwrap();
        assert_eq!(new.signer(100).map(|key| key.id.as_str()), Some("b"));
        let kept = new.key("a").unwrap();
        assert!(kept.checks(b"lesson", &signature) && !kept.checks(b"lessons", &signature));
        assert!(kept.holds_at(159) && !kept.holds_at(160) && kept.sign(b"lesson").is_none());
        let again = rotated(second.as_bytes(), new_key("b", algorithm, 100, 500).unwrap(), 100, 60);
        assert_eq!(again.unwrap_err(), Fault::Key("b".into(), "two keys have this id"));
    }
}
