use super::line_of_value;

#[test]
fn missing_values_are_reported_at_the_end_of_their_object() {
    let text = b"{\n \"a\": {\"x\": 1},\n \"b\": {\n  \"list\": [\n\
           {\"name\": \"p\"},\n   {\"name\": 7}\n  ]\n }\n}";
    assert_eq!(line_of_value(text, "a.x"), Some(2));
    assert_eq!(line_of_value(text, "b.list[1].name"), Some(6));
    assert_eq!(line_of_value(text, "b.list[4].name"), Some(7));
    assert_eq!(line_of_value(text, "b.nothing"), Some(8));
    assert_eq!(line_of_value(text, "nothing"), Some(9));
    assert_eq!(line_of_value(b"{\"a\": ", "a"), None);
}
