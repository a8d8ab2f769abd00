fn main() -> std::process::ExitCode {
    bellsill_testbed::command_line::main()
}
