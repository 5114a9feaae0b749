use super::*;

#[test]
fn a_rotation_lets_what_was_signed_live_for_the_overlap_and_signs_with_the_new_key() {
    for algorithm in [Algorithm::Hs256, Algorithm::EdDsa] {
        let first = add_key(None, new_key("a", algorithm, 0, u64::MAX).unwrap()).unwrap();
        let old = KeySet::parse(first.as_bytes()).unwrap();
        let signature = old.signing_key(100).unwrap().sign(b"lesson").unwrap();
        let second = rotate(first.as_bytes(), new_key("b", algorithm, 100, 500).unwrap(), 100, 60).unwrap();
        let new = KeySet::parse(second.as_bytes()).unwrap();
        assert_eq!(new.signing_key(100).map(|key| key.id.as_str()), Some("b"));
        let kept = new.key("a").unwrap();
        assert!(kept.verifies(b"lesson", &signature) && !kept.verifies(b"lessons", &signature));
        assert!(kept.is_valid_at(159) && !kept.is_valid_at(160) && kept.sign(b"lesson").is_none());
        let again = rotate(second.as_bytes(), new_key("b", algorithm, 100, 500).unwrap(), 100, 60);
        assert_eq!(again.unwrap_err(), KeySetError::Key("b".into(), "two keys have this id"));
    }
}
