//! Contents of the daemons' settings files.

use crate::cluster::Cluster;
use crate::{DATA_CENTRES, SERVICE};

impl Cluster {
    /// Settings of an agent for the target in `DATA_CENTRES[index]`.
    pub fn agent_settings(&self, index: usize) -> String {
        let target = self.target(index);
        let common = self.settings("agent", DATA_CENTRES[index]);
        format!("{common}[agent]\nservice = \"{SERVICE}\"\ntarget = \"{target}\"\n")
    }

    /// Settings that balancers and agents have in common; the seeds are the running balancers.
    pub fn settings(&self, role: &str, data_centre: &str) -> String {
        let seeds = self
            .balancers
            .iter()
            .map(|daemon| daemon.address("control"));
        let seeds: Vec<_> = seeds.map(|address| format!("\"{address}\"")).collect();
        let (seeds, store) = (seeds.join(", "), self.store());
        let certs = self.temp_dir.join("certs").display().to_string();
        format!(
            "role = \"{role}\"\nenvironment = \"production\"\ndata_centre = \"{data_centre}\"\n\
             control = \"127.0.0.1:0\"\ndata = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n\
             admin = \"127.0.0.1:0\"\nseeds = [{seeds}]\nstore = [\"{store}\"]\n\
             keys = \"{certs}/keys.toml\"\n[tls]\ncertificate = \"{certs}/server.pem\"\n\
             key = \"{certs}/server.key\"\nauthority = \"{certs}/ca.pem\"\n"
        )
    }
}
