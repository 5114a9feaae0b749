use super::*;

#[test]
fn a_rotation_signs_with_the_new_key_and_accepts_the_old_one_for_the_overlap() {
    for algorithm in [Algorithm::Hs256, Algorithm::EdDsa] {
        let first = add_key(None, new_key("a", algorithm, 0, u64::MAX).unwrap()).unwrap();
        let old = KeySet::parse(first.as_bytes()).unwrap();
        let signature = old.signing_key(100).unwrap().sign(b"message").unwrap();
        let second = rotate(first.as_bytes(), new_key("b", algorithm, 100, 500).unwrap(), 100, 60).unwrap();
        let new = KeySet::parse(second.as_bytes()).unwrap();
        assert_eq!(new.signing_key(100).map(|key| key.id.as_str()), Some("b"));
        let old_key = new.key("a").unwrap();
        assert!(old_key.verifies(b"message", &signature) && !old_key.verifies(b"messages", &signature));
        assert!(old_key.is_valid_at(159) && !old_key.is_valid_at(160) && old_key.sign(b"message").is_none());
        let again = rotate(second.as_bytes(), new_key("b", algorithm, 100, 500).unwrap(), 100, 60);
        assert_eq!(again.unwrap_err(), KeySetError::Key("b".into(), "two keys have this id"));
    }
}
