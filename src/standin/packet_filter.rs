//! Drops the packets of some callers at a server's sockets, as a cut link does: their new
//! connections hang, and nothing that they send on open ones arrives.

use std::io;
use std::net::Ipv4Addr;
use std::os::fd::{AsRawFd, BorrowedFd};

/// Offset of the network header in a filter that a socket runs (`SKF_NET_OFF`).
const NETWORK_HEADER: u32 = -0x10_0000_i32 as u32;

/// Offset of the source address in an IPv4 header.
const SOURCE_ADDRESS: u32 = 12;

/// Largest number of callers: a jump skips at most this many instructions.
const MAX_CALLERS: usize = 250;

const LOAD_WORD: u16 = (libc::BPF_LD | libc::BPF_W | libc::BPF_ABS) as u16;
const JUMP_IF_EQUAL: u16 = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
const RETURN: u16 = (libc::BPF_RET | libc::BPF_K) as u16;

fn instruction(code: u16, jump_if_true: u8, value: u32) -> libc::sock_filter {
    libc::sock_filter { code, jt: jump_if_true, jf: 0, k: value }
}

/// Drops all packets from these callers at a TCP socket; of a listener, also for the connections
/// that it accepts from then on. An earlier filter is replaced.
///
/// # Errors
/// If there are too many callers, or the kernel takes no filter.
pub fn drop_from(socket: BorrowedFd, callers: &[Ipv4Addr]) -> io::Result<()> {
    if callers.len() > MAX_CALLERS {
        return Err(io::ErrorKind::InvalidInput.into());
    }
    let mut program = vec![instruction(LOAD_WORD, 0, NETWORK_HEADER + SOURCE_ADDRESS)];
    for (at, caller) in callers.iter().enumerate() {
        let to_drop = (callers.len() - at) as u8;
        program.push(instruction(JUMP_IF_EQUAL, to_drop, u32::from(*caller)));
    }
    program.push(instruction(RETURN, 0, u32::MAX));
    program.push(instruction(RETURN, 0, 0));
    let filter = libc::sock_fprog { len: program.len() as u16, filter: program.as_mut_ptr() };
    // SAFETY: the socket is open, and the filter outlives the call.
    let set = unsafe {
        libc::setsockopt(
            socket.as_raw_fd(),
            libc::SOL_SOCKET,
            libc::SO_ATTACH_FILTER,
            (&raw const filter).cast(),
            size_of::<libc::sock_fprog>() as libc::socklen_t,
        )
    };
    if set == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}
