//! Starts the program and prints one clear error.

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Err(fault) = kitepulley::run(&arguments) {
        eprintln!("kitepulley: {fault}");
        std::process::exit(fault.exit_code());
    }
}
