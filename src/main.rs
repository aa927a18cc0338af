//! Runs the command line and prints an error as one sentence on standard error.

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Err(error) = kitepulley::run(&arguments) {
        eprintln!("kitepulley: {error}");
        std::process::exit(error.exit_code());
    }
}
