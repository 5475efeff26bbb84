use super::*;

/// Parses all requests in `bytes`, fed to the reader in pieces of `piece_length`.
fn read(bytes: &[u8], piece_length: usize) -> Result<Vec<(String, Vec<u8>)>, HttpError> {
    let (mut reader, mut requests) = (RequestReader::default(), Vec::new());
    for piece in bytes.chunks(piece_length) {
        reader.push(piece);
        while reader.has_complete_request()? {
            let request = reader.request()?;
            requests.push((request.target.to_owned(), request.body.to_vec()));
            reader.consume_request();
        }
    }
    Ok(requests)
}

// Guards against requests that are parsed early, late or twice, depending on where reads split them.
#[test]
fn requests_parse_the_same_in_pieces_of_any_size() {
    let bytes = b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz\r\n\
        POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;q=1\r\nab\r\n3\r\n\r\nc\r\n0\r\nT: 1\r\n\r\n\
        GET /c HTTP/1.1\n\n";
    let whole = read(bytes, bytes.len()).expect("well formed");
    assert_eq!(whole[0], ("/a".to_owned(), b"xyz".to_vec()));
    assert_eq!(whole[1], ("/b".to_owned(), b"ab\r\nc".to_vec()));
    assert_eq!(whole[2], ("/c".to_owned(), Vec::new()));
    for piece_length in 1..bytes.len() {
        assert_eq!(read(bytes, piece_length).as_ref(), Ok(&whole), "pieces of {piece_length}");
    }
}

// Guards against unbounded buffers and against messages that can be read in two ways (request smuggling).
#[test]
fn invalid_requests_get_the_matching_error() {
    let head = |lines: &str| format!("POST /a HTTP/1.1\r\n{lines}\r\n");
    for (bytes, error) in [
        (head("Content-Length: 65537\r\n"), HttpError::BodyTooLong),
        (head("Content-Length: 1\r\nContent-Length: 2\r\n"), HttpError::Malformed),
        (head("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), HttpError::Malformed),
        (head("Content-Length: +1\r\n"), HttpError::Malformed),
        (head("Transfer-Encoding: gzip\r\n"), HttpError::UnsupportedTransferCoding),
        (head("Transfer-Encoding: chunked\r\n") + "zz\r\n", HttpError::Malformed),
        (head("Transfer-Encoding: chunked\r\n") + "+1\r\n", HttpError::Malformed),
        (head(&format!("A: {}\r\n", "a".repeat(MAX_HEAD_BYTES))), HttpError::HeadTooLong),
        (head("Transfer-Encoding: chunked\r\n") + "20000\r\n" + &"a".repeat(70_000), HttpError::BodyTooLong),
        ("nonsense\r\n\r\n".to_owned(), HttpError::Malformed),
    ] {
        assert_eq!(read(bytes.as_bytes(), 4096), Err(error), "{bytes:.60}");
    }
}
