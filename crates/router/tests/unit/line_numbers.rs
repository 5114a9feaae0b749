use super::line;

#[test]
fn a_value_is_found_at_its_line_and_a_missing_one_where_its_object_ends() {
    let text = b"{\n \"a\": {\"x\": 1},\n \"b\": {\n  \"list\": [\n\
           {\"name\": \"p\"},\n   {\"name\": 7}\n  ]\n }\n}";
    assert_eq!(line(text, "a.x"), Some(2));
    assert_eq!(line(text, "b.list[1].name"), Some(6));
    assert_eq!(line(text, "b.list[4].name"), Some(7));
    assert_eq!(line(text, "b.nothing"), Some(8));
    assert_eq!(line(text, "nothing"), Some(9));
    assert_eq!(line(b"{\"a\": ", "a"), None);
}
