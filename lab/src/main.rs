fn main() -> std::process::ExitCode {
    bellsill_lab::command_line::main()
}
