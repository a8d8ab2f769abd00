//! Compares the ring buffer with a plain vector under random operations.

mod property;

use bellsill_net::ring_buffer::RingBuffer;
use property::check;

#[test]
fn a_ring_buffer_keeps_order_and_capacity() {
    fn property(steps: Vec<(bool, Vec<u8>)>) -> bool {
        let (mut buffer, mut model) = (RingBuffer::new(300), Vec::<u8>::new());
        steps.into_iter().all(|(push, bytes)| {
            if push {
                let fits = model.len() + bytes.len() <= 300;
                assert_eq!(buffer.push(&bytes), fits);
                model.extend(bytes.iter().filter(|_| fits));
            } else {
                buffer.consume(bytes.len());
                model.drain(..bytes.len().min(model.len()));
            }
            buffer.make_contiguous() == model && buffer.remaining_capacity() == 300 - model.len()
        })
    }
    check(200, property as fn(Vec<(bool, Vec<u8>)>) -> bool);
}

/// Guards against a line end that is missed or reported twice because of where the pieces end.
#[test]
fn the_first_line_end_is_found_after_any_pushes_and_consumptions() {
    fn property(steps: Vec<(bool, Vec<u8>)>) -> bool {
        let (mut buffer, mut model) = (RingBuffer::new(300), Vec::<u8>::new());
        steps.into_iter().all(|(push, mut bytes)| {
            if push {
                bytes.iter_mut().for_each(|byte| *byte = *byte % 8 + b'\n');
                if buffer.push(&bytes) {
                    model.extend(&bytes);
                }
            } else {
                buffer.consume(bytes.len());
                model.drain(..bytes.len().min(model.len()));
            }
            let expected = model.iter().position(|&b| b == b'\n');
            buffer.find_line_end() == expected && buffer.find_line_end() == expected
        })
    }
    check(500, property as fn(Vec<(bool, Vec<u8>)>) -> bool);
}
