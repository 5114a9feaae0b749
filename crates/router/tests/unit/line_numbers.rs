use super::line_of_value;

#[test]
fn present_values_have_their_own_line_and_missing_ones_the_last_line_of_their_parent() {
    let text = b"{\n \"a\": {\"x\": 1},\n \"b\": {\n  \"list\": [\n\
           {\"name\": \"p\"},\n   {\"name\": 7}\n  ]\n }\n}";
    assert_eq!(line_of_value(text, "a.x"), Some(2));
    assert_eq!(line_of_value(text, "b.list[1].name"), Some(6));
    assert_eq!(line_of_value(text, "b.list[4].name"), Some(7));
    assert_eq!(line_of_value(text, "b.nothing"), Some(8));
    assert_eq!(line_of_value(text, "nothing"), Some(9));
    assert_eq!(line_of_value(b"{\"a\": ", "a"), None);
}
