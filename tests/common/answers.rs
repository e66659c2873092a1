//! Answers that the protocol doesn't allow, and odd ones that it allows: the same for all that read
//! answers. `{own}` stands for header lines that a sound answer has.

use super::raw::Raw;

/// An answer that must not be taken for one, and what is wrong with it; empty if it ends too early.
pub struct Broken {
    pub raw: Raw,
    pub fault: &'static str,
}

pub const fn broken(bytes: &'static [u8], fault: &'static str) -> Broken {
    Broken { raw: Raw::kept(bytes), fault }
}

pub const fn cut(bytes: &'static [u8]) -> Broken {
    Broken { raw: Raw::closed(bytes), fault: "" }
}

pub const fn reset(bytes: &'static [u8]) -> Broken {
    Broken { raw: Raw::reset(bytes), fault: "" }
}

/// A sound answer, and what it says.
pub struct Sound {
    pub method: &'static str,
    pub raw: Raw,
    pub status: u16,
    pub body: &'static str,
}

pub const fn sound(bytes: &'static [u8]) -> Sound {
    of_status(200, bytes, "hi")
}

pub const fn ends_with_its_connection(bytes: &'static [u8]) -> Sound {
    Sound { method: "POST", raw: Raw::closed(bytes), status: 200, body: "hi" }
}

pub const fn of_status(status: u16, bytes: &'static [u8], body: &'static str) -> Sound {
    Sound { method: "POST", raw: Raw::kept(bytes), status, body }
}

pub const fn to_head(bytes: &'static [u8]) -> Sound {
    Sound { method: "HEAD", raw: Raw::kept(bytes), status: 200, body: "" }
}

/// Makes a test of each answer that is malformed.
#[macro_export]
macro_rules! malformed_answers {
    ($run:ident) => {
        $crate::cases! {
            $run:
            status_of_zeros_is_no_answer =>
                broken(b"HTTP/1.1 000 X\r\n{own}Content-Length: 2\r\n\r\nhi", "status code");
            status_below_100_is_no_answer =>
                broken(b"HTTP/1.1 099 X\r\n{own}Content-Length: 2\r\n\r\nhi", "status code");
            status_of_600_is_no_answer =>
                broken(b"HTTP/1.1 600 X\r\n{own}Content-Length: 2\r\n\r\nhi", "status code");
            status_of_999_is_no_answer =>
                broken(b"HTTP/1.1 999 X\r\n{own}Content-Length: 2\r\n\r\nhi", "status code");
            status_of_two_digits_is_no_answer =>
                broken(b"HTTP/1.1 20 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            status_of_four_digits_is_no_answer =>
                broken(b"HTTP/1.1 2000 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            status_with_a_letter_is_no_answer =>
                broken(b"HTTP/1.1 2x0 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            status_with_a_sign_is_no_answer =>
                broken(b"HTTP/1.1 +20 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            status_without_the_blank_after_it_is_no_answer =>
                broken(b"HTTP/1.1 200\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            status_after_two_blanks_is_no_answer =>
                broken(b"HTTP/1.1  200 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            status_after_a_tab_is_no_answer =>
                broken(b"HTTP/1.1\t200 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            other_version_is_no_answer =>
                broken(b"HTTP/2.0 200 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            version_in_lower_case_is_no_answer =>
                broken(b"http/1.1 200 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            other_protocol_is_no_answer =>
                broken(b"ICY 200 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            text_is_no_answer =>
                broken(b"out of memory\r\n\r\n", "start line");
            control_byte_in_the_reason_is_no_answer =>
                broken(b"HTTP/1.1 200 X\x01\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            carriage_return_in_the_reason_is_no_answer =>
                broken(b"HTTP/1.1 200 X\rY\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            status_line_that_ends_with_a_line_feed_alone_is_no_answer =>
                broken(b"HTTP/1.1 200 X\n{own}Content-Length: 2\r\n\r\nhi", "line end");
            empty_line_before_the_status_line_is_no_answer =>
                broken(b"\r\nHTTP/1.1 200 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            empty_line_after_an_interim_response_is_no_answer =>
                broken(b"HTTP/1.1 100 X\r\n\r\n\r\nHTTP/1.1 200 X\r\n{own}Content-Length: 2\r\n\r\nhi", "start line");
            switched_protocol_is_no_answer =>
                broken(b"HTTP/1.1 101 X\r\n{own}Upgrade: x\r\n\r\nhi", "upgrade");
            interim_response_with_a_length_is_no_answer =>
                broken(b"HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 X\r\n{own}Content-Length: 2\r\n\r\nhi", "framing");
            name_before_a_blank_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X-Odd : 1\r\nContent-Length: 2\r\n\r\nhi", "field name");
            name_with_a_blank_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X Odd: 1\r\nContent-Length: 2\r\n\r\nhi", "field name");
            name_with_a_tab_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X\tOdd: 1\r\nContent-Length: 2\r\n\r\nhi", "field name");
            name_with_a_control_byte_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X\x01Odd: 1\r\nContent-Length: 2\r\n\r\nhi", "field name");
            name_with_a_zero_byte_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X\0Odd: 1\r\nContent-Length: 2\r\n\r\nhi", "field name");
            name_with_a_delete_byte_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X\x7fOdd: 1\r\nContent-Length: 2\r\n\r\nhi", "field name");
            name_with_a_letter_beyond_ascii_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X\xe9: 1\r\nContent-Length: 2\r\n\r\nhi", "field name");
            length_before_a_blank_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length : 2\r\n\r\nhi", "field name");
            length_before_a_control_byte_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length\x0b: 2\r\n\r\nhi", "field name");
            empty_name_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}: 1\r\nContent-Length: 2\r\n\r\nhi", "field name");
            line_without_a_colon_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X-Odd\r\nContent-Length: 2\r\n\r\nhi", "field name");
            first_line_with_a_blank_before_it_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n X-Odd: 1\r\n{own}Content-Length: 2\r\n\r\nhi", "field name");
            folded_value_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X-Odd: 1\r\n 2\r\nContent-Length: 2\r\n\r\nhi", "field name");
            value_with_a_zero_byte_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X-Odd: 1\x002\r\nContent-Length: 2\r\n\r\nhi", "field value");
            value_with_a_control_byte_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X-Odd: 1\x082\r\nContent-Length: 2\r\n\r\nhi", "field value");
            value_with_a_delete_byte_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X-Odd: 1\x7f2\r\nContent-Length: 2\r\n\r\nhi", "field value");
            value_with_a_carriage_return_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X-Odd: 1\r2\r\nContent-Length: 2\r\n\r\nhi", "field value");
            field_that_ends_with_a_line_feed_alone_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}X-Odd: 1\nContent-Length: 2\r\n\r\nhi", "line end");
            head_that_ends_with_a_line_feed_alone_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length: 2\r\n\nhi", "line end");
            length_and_chunks_are_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "framing");
            lengths_that_differ_are_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length: 2\r\nContent-Length: 1\r\n\r\nhi", "length");
            list_of_lengths_that_differ_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length: 2, 1\r\n\r\nhi", "length");
            length_with_a_letter_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length: 2x\r\n\r\nhi", "length");
            length_with_a_sign_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length: +2\r\n\r\nhi", "length");
            negative_length_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length: -2\r\n\r\nhi", "length");
            empty_length_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length: \r\n\r\nhi", "length");
            length_over_64_bits_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Length: 18446744073709551618\r\n\r\nhi", "length");
            other_coding_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Transfer-Encoding: gzip\r\n\r\nhi", "transfer coding");
            coding_before_chunks_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "transfer coding");
            coding_after_chunks_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Transfer-Encoding: chunked, identity\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "transfer coding");
            chunks_twice_are_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "transfer coding");
            chunks_in_version_1_0_are_no_answer =>
                broken(b"HTTP/1.0 200 X\r\n{own}Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "transfer coding");
            status_204_with_chunks_is_no_answer =>
                broken(b"HTTP/1.1 204 X\r\n{own}Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "framing");
            status_204_with_a_length_is_no_answer =>
                broken(b"HTTP/1.1 204 X\r\n{own}Content-Length: 2\r\n\r\nhi", "framing");
            status_205_with_a_body_is_no_answer =>
                broken(b"HTTP/1.1 205 X\r\n{own}Content-Length: 2\r\n\r\nhi", "framing");
            status_304_with_a_bad_length_is_no_answer =>
                broken(b"HTTP/1.1 304 X\r\n{own}Content-Length: x\r\n\r\n", "length");
            chunk_size_that_is_no_number_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n", "chunk size");
            chunk_size_with_a_blank_after_it_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\nhi\r\n0\r\n\r\n", "chunk size");
            chunk_size_with_a_blank_before_it_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n 2\r\nhi\r\n0\r\n\r\n", "chunk size");
            chunk_size_with_a_prefix_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nhi\r\n0\r\n\r\n", "chunk size");
            chunk_size_with_a_sign_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nhi\r\n0\r\n\r\n", "chunk size");
            empty_chunk_size_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\r\nhi\r\n0\r\n\r\n", "chunk size");
            chunk_size_over_64_bits_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000002\r\nhi\r\n0\r\n\r\n", "chunk size");
            chunk_line_that_ends_with_a_line_feed_alone_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\nhi\r\n0\r\n\r\n", "line end");
            chunk_without_its_end_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhix\r\n0\r\n\r\n", "chunk end");
            chunk_that_ends_with_a_line_feed_alone_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\n0\r\n\r\n", "line end");
            chunk_extension_with_a_control_byte_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\x01\r\nhi\r\n0\r\n\r\n", "chunk extension");
            chunk_extension_with_a_carriage_return_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2;a\rb\r\nhi\r\n0\r\n\r\n", "chunk extension");
            chunk_extension_without_a_name_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2;=1\r\nhi\r\n0\r\n\r\n", "chunk extension");
            chunk_extension_with_an_open_quote_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\"b\r\nhi\r\n0\r\n\r\n", "chunk extension");
            last_chunk_with_a_bad_extension_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0;\x02\r\n\r\n", "chunk extension");
            trailer_without_a_colon_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Odd\r\n\r\n", "trailer");
            trailer_with_a_blank_in_its_name_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX Odd: 1\r\n\r\n", "trailer");
            trailer_with_a_blank_after_its_name_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Odd : 1\r\n\r\n", "trailer");
            trailer_without_a_name_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n: 1\r\n\r\n", "trailer");
            trailer_with_a_control_byte_in_its_name_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX\x01: 1\r\n\r\n", "trailer");
            trailer_with_a_control_byte_in_its_value_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: \x01\r\n\r\n", "trailer");
            trailer_with_a_carriage_return_in_its_value_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: 1\r2\r\n\r\n", "trailer");
            trailer_that_is_folded_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: 1\r\n 2\r\n\r\n", "trailer");
            trailer_that_ends_with_a_line_feed_alone_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: 1\n\r\n", "line end");
            trailer_with_a_length_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nContent-Length: 2\r\n\r\n", "trailer");
            trailer_with_a_coding_is_no_answer =>
                broken(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n", "trailer");
        }
    };
}

/// Makes a test of each answer that ends before it is complete.
#[macro_export]
macro_rules! short_answers {
    ($run:ident) => {
        $crate::cases! {
            $run:
            body_shorter_than_its_length_is_no_answer =>
                cut(b"HTTP/1.1 200 X\r\n{own}Content-Length: 3\r\n\r\nhi");
            chunk_shorter_than_its_size_is_no_answer =>
                cut(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhi");
            chunks_without_the_last_one_are_no_answer =>
                cut(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n");
            last_chunk_without_the_end_of_the_trailer_is_no_answer =>
                cut(b"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n");
            head_without_its_end_is_no_answer =>
                cut(b"HTTP/1.1 200 X\r\n{own}Content-Length: 0\r\n");
            interim_response_alone_is_no_answer =>
                cut(b"HTTP/1.1 100 X\r\n\r\n");
            nothing_is_no_answer =>
                cut(b"");
            body_without_a_length_that_is_reset_is_no_answer =>
                reset(b"HTTP/1.1 200 X\r\n{own}\r\nhi");
            body_with_a_length_that_is_reset_is_no_answer =>
                reset(b"HTTP/1.1 200 X\r\n{own}Content-Length: 3\r\n\r\nhi");
        }
    };
}

/// Makes a test of each sound answer.
#[macro_export]
macro_rules! sound_answers {
    ($run:ident) => {
        $crate::cases! {
            $run:
            answer_with_a_length_passes =>
                sound(b"HTTP/1.1 200 X\r\n{own}Content-Length: 2\r\n\r\nhi");
            answer_without_a_reason_passes =>
                sound(b"HTTP/1.1 200 \r\n{own}Content-Length: 2\r\n\r\nhi");
            answer_with_blanks_tabs_and_other_letters_in_its_reason_passes =>
                sound(b"HTTP/1.1 200 \t so \xe9 \r\n{own}Content-Length: 2\r\n\r\nhi");
            answer_with_odd_names_passes =>
                sound(b"HTTP/1.1 200 X\r\n{own}!#$%&'*+-.^_`|~09: 1\r\ncOnTeNt-lEnGtH: 2\r\n\r\nhi");
            answer_with_odd_values_passes =>
                sound(b"HTTP/1.1 200 X\r\n{own}X-A:\r\nX-B:1\r\nX-C: \t 1\t2 \t\r\nX-D: \xe9\"(:;\r\nContent-Length:2 \r\n\r\nhi");
            answer_with_its_length_twice_passes =>
                sound(b"HTTP/1.1 200 X\r\n{own}Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi");
            answer_with_a_list_of_the_same_lengths_passes =>
                sound(b"HTTP/1.1 200 X\r\n{own}Content-Length: 2, 2\r\n\r\nhi");
            answer_with_zeros_before_its_length_passes =>
                sound(b"HTTP/1.1 200 X\r\n{own}Content-Length: 0002\r\n\r\nhi");
            answer_in_chunks_passes =>
                sound(b"HTTP/1.1 200 X\r\n{own}Transfer-Encoding: Chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n");
            answer_with_zeros_before_a_chunk_size_passes =>
                sound(b"HTTP/1.1 200 X\r\n{own}Transfer-Encoding: chunked\r\n\r\n00000000000000000002\r\nhi\r\n000\r\n\r\n");
            answer_with_chunk_extensions_passes =>
                sound(b"HTTP/1.1 200 X\r\n{own}Transfer-Encoding: chunked\r\n\r\n2;a;b=c ; d = \"e \\\" \xe9\"\r\nhi\r\n0;x\r\n\r\n");
            answer_with_a_trailer_passes =>
                sound(b"HTTP/1.1 200 X\r\n{own}Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-A: \xe9 1\r\nX-B:\r\n\r\n");
            answer_after_interim_responses_passes =>
                sound(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 X\r\n{own}Content-Length: 2\r\n\r\nhi");
            answer_of_version_1_0_passes =>
                sound(b"HTTP/1.0 200 X\r\n{own}Content-Length: 2\r\n\r\nhi");
            answer_of_version_1_0_that_ends_with_its_connection_passes =>
                ends_with_its_connection(b"HTTP/1.0 200 X\r\n{own}\r\nhi");
            answer_that_ends_with_its_connection_passes =>
                ends_with_its_connection(b"HTTP/1.1 200 X\r\n{own}\r\nhi");
            answer_that_closes_its_connection_passes =>
                ends_with_its_connection(b"HTTP/1.1 200 X\r\n{own}Connection: close\r\nContent-Length: 2\r\n\r\nhi");
            empty_answer_passes =>
                of_status(200, b"HTTP/1.1 200 X\r\n{own}Content-Length: 0\r\n\r\n", "");
            status_299_passes =>
                of_status(299, b"HTTP/1.1 299 X\r\n{own}Content-Length: 2\r\n\r\nhi", "hi");
            status_302_passes =>
                of_status(302, b"HTTP/1.1 302 X\r\n{own}Location: /x\r\nContent-Length: 2\r\n\r\nhi", "hi");
            status_418_passes =>
                of_status(418, b"HTTP/1.1 418 X\r\n{own}Content-Length: 2\r\n\r\nhi", "hi");
            status_599_passes =>
                of_status(599, b"HTTP/1.1 599 X\r\n{own}Content-Length: 2\r\n\r\nhi", "hi");
            status_204_passes =>
                of_status(204, b"HTTP/1.1 204 X\r\n{own}\r\n", "");
            status_205_passes =>
                of_status(205, b"HTTP/1.1 205 X\r\n{own}Content-Length: 0\r\n\r\n", "");
            status_304_with_the_length_of_the_body_passes =>
                of_status(304, b"HTTP/1.1 304 X\r\n{own}Content-Length: 2\r\n\r\n", "");
            answer_to_head_passes =>
                to_head(b"HTTP/1.1 200 X\r\n{own}Content-Length: 2\r\n\r\n");
            answer_to_head_in_chunks_passes =>
                to_head(b"HTTP/1.1 200 X\r\n{own}Transfer-Encoding: chunked\r\n\r\n");
        }
    };
}
