//! Checks frames against the byte examples in the documentation of the simulator's protocol, and the errors for malformed
//! input.
use larklink_adapter::error::{MalformedFrame, ReadError};
use larklink_adapter::proxies::Proxies;
use larklink_adapter::wire::{Batch, Reply};

fn from_hex(hex: &str) -> Vec<u8> {
    let hex: String = hex.split_whitespace().collect();
    (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).expect("hex")).collect()
}

fn read_batch(mut frame: &[u8]) -> Result<Option<Batch>, MalformedFrame> {
    Batch::read(&mut frame).map_err(|error| match error {
        ReadError::Malformed(malformed) => malformed,
        ReadError::Io(error) => panic!("reading from a slice failed: {error}"),
    })
}

#[test]
fn empty_batch_gets_empty_reply() {
    let batch = read_batch(&from_hex("00000000 00000000 90bf68f501000000 01000000")).unwrap().unwrap();
    assert_eq!((batch.clock, batch.number), (0x1f568bf90, 1));
    assert_eq!(Proxies::default().handle_batch(&batch).unwrap(), from_hex("00000000 00000000 01000000"));
}

#[test]
fn event_fields_are_read_at_documented_offsets() {
    let record = "fc03 03000000 c4913a5d 107cf3d901648e2b 00000000 0100 001c4e0e00000000 640ad2557c3bf091 00 \
                001bb70000000000 00000000000000";
    let frame = from_hex(&format!("01000000 38000000 90bf68f501000000 0c000000 {record}"));
    let batch = read_batch(&frame).unwrap().unwrap();
    let event = batch.events().next().unwrap();
    assert_eq!((event.u16(0), event.u32(2), event.u32(6)), (1020, 3, 0x5d3a91c4));
    assert_eq!((event.nanos(24), event.u64(32)), (240_000_000, 0x91f03b7c55d20a64));
}

#[test]
fn actions_are_encoded_as_documented() {
    let mut reply = Reply::default();
    let session = 0x5d3a91c4u32;
    let endpoint = 0x03124a07u32;
    reply.push_action(
        1090,
        3,
        &[&session.to_le_bytes(), &endpoint.to_le_bytes(), &80_000_000u64.to_le_bytes()],
    );
    reply.push_action(1010, 3, &[&0x0002_1336_2490_u64.to_le_bytes(), &77u64.to_le_bytes()]);
    reply.push_text_action(1030, 5, "two servers known");
    let expected = "59000000 03000000 0c000000 4204 03000000 c4913a5d 074a1203 00b4c40400000000 0000 \
                f203 03000000 9024361302000000 4d00000000000000 0000 0604 05000000 00000000 11000000 \
                00000000000000000000 74776f2073657276657273206b6e6f776e";
    assert_eq!(reply.into_frame(12), from_hex(expected));
}

#[test]
fn malformed_frames_are_reported() {
    assert!(read_batch(&[]).unwrap().is_none());
    for frame in ["0000", "00000000 05000000 90bf68f501000000 01000000 00", "01000000 00000000 00 00"] {
        assert!(read_batch(&from_hex(frame)).is_err(), "{frame}");
    }
    let start = format!("01000000 3a000000 0000000000000000 01000000 e803 00000000 {}", "00".repeat(8));
    let frame = from_hex(&format!("{start} 00000000 02000000 {} 7b5b", "00".repeat(34)));
    let Err(malformed) = Proxies::default().handle_batch(&read_batch(&frame).unwrap().unwrap()) else {
        panic!("settings that are not JSON were accepted");
    };
    let text = malformed.to_string();
    assert!(text.starts_with("settings:"), "{text}");
}
