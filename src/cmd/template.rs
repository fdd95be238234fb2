//! `basilfield template list|show`: shows the shipped templates and their parameters.

use crate::cmd;
use crate::entry::admin;
use crate::template;
use std::process::ExitCode;

/// Show the shipped templates and their parameters.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "template")]
pub struct Template {
    #[argh(subcommand)]
    action: Action,
}

#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand)]
enum Action {
    List(List),
    Show(Show),
}

/// List the templates.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "list")]
struct List {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Show a template with its parameters.
#[derive(argh::FromArgs, Clone, Debug)]
#[argh(subcommand, name = "show")]
struct Show {
    /// name of the template
    #[argh(positional)]
    name: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
pub fn run(args: &Template) -> ExitCode {
    match &args.action {
        Action::List(list) => run_list(list),
        Action::Show(show) => run_show(show),
    }
}

fn run_list(args: &List) -> ExitCode {
    for template in template::all() {
        match args.json {
            true => println!(
                "{}",
                serde_json::json!({ "name": &*template.name, "help": &*template.help })
            ),
            false => println!("{:<12} {}", template.name, template.help),
        }
    }
    ExitCode::SUCCESS
}

fn run_show(args: &Show) -> ExitCode {
    match template::get(&args.name) {
        Some(template) if args.json => {
            println!("{}", serde_json::json!({ "name": args.name, "text": template.describe() }));
        }
        Some(template) => print!("{}", template.describe()),
        None => return cmd::report_error(admin::unknown_template(&args.name)),
    }
    ExitCode::SUCCESS
}
