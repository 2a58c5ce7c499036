use super::*;

#[test]
fn a_request_is_a_repeat_within_its_scope_and_window() {
    let mut window = DeduplicationWindow::new(100.0);
    assert!(!window.is_repeat(0.0, 1, 42));
    assert!(window.is_repeat(99.0, 1, 42));
    assert!(!window.is_repeat(99.0, 2, 42), "another scope");
    assert!(!window.is_repeat(100.0, 1, 42), "the window is over");
}
