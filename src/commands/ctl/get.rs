//! `trefoilctl get`: prints the resources in force.

use std::fmt;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use trefoil_config::Routing;
use trefoil_config::resource::Kind;
use trefoil_core::ResourceName;
use trefoil_log::Resource;

use super::client::{Client, ResourceStatus, format_time};
use super::{CommandError, Context, ExitStatus};

const EXAMPLES: &str = "Examples:
  trefoilctl get
  trefoilctl get monterrey > monterrey.yaml
  trefoilctl get monterrey --output json

With a name, the text output is a routing resource with its revision, ready to be changed and
applied. Its status is in comments.";

pub(super) fn command() -> Command {
    Command::new("get")
        .about("Print the resources in force, or one resource with its status")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .value_parser(value_parser!(ResourceName))
                .help("Name of the resource"),
        )
}

#[derive(Debug, Serialize)]
#[serde(transparent)]
struct ResourceView(ResourceStatus);

impl fmt::Display for ResourceView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ResourceStatus {
            resource, domains, ..
        } = &self.0;
        writeln!(f, "# accepted {}", format_time(resource.accepted))?;
        writeln!(f, "# in force everywhere: {}", self.0.in_force())?;
        for (name, domain) in domains {
            writeln!(f, "# {name}: {domain}")?;
        }
        f.write_str(to_routing(resource).to_yaml().trim_end())
    }
}

/// Converts a resource to the form that `apply` accepts, with its current revision as the base.
pub(super) fn to_routing(resource: &Resource) -> Routing {
    Routing {
        kind: Kind::Routing,
        name: resource.name.clone(),
        revision: resource.revision,
        spec: resource.spec.clone(),
    }
}

#[derive(Debug, Serialize)]
#[serde(transparent)]
struct ResourceList(Vec<Resource>);

impl fmt::Display for ResourceList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("no resources");
        }
        let width = self.0.iter().map(|r| r.name.as_str().len()).max();
        let width = width.unwrap_or_default().max(4);
        write!(
            f,
            "{:width$}  {:>8}  {:24}  SERVICES",
            "NAME", "REVISION", "ACCEPTED"
        )?;
        for r in &self.0 {
            let accepted = format_time(r.accepted);
            let services: Vec<&str> = r.spec.services.iter().map(|s| s.name.as_str()).collect();
            let name = r.name.as_str();
            let service_list = services.join(", ");
            write!(
                f,
                "\n{name:width$}  {:>8}  {accepted:24}  {service_list}",
                r.revision.0
            )?;
        }
        Ok(())
    }
}

pub(super) fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let client = Client::new(context.server);
    let Some(name) = matches.get_one::<ResourceName>("name") else {
        context.print(&ResourceList(client.get("/v1/resources")?))?;
        return Ok(ExitStatus::Done);
    };
    match client.resource(name)? {
        Some(status) => {
            context.print(&ResourceView(status))?;
            Ok(ExitStatus::Done)
        }
        None => Err(CommandError::UnknownResource { name: name.clone() }),
    }
}
