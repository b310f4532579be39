//! Writes configurations while the platform is in use elsewhere.

use super::StandInPlatform;
use super::desired_state::DesiredState;
use crate::platform::configuration::ConfigurationSpec;

/// Writes configurations in place of the platform, which must write none as long as the writer does.
pub struct ConfigurationWriter {
    /// Latest configuration.
    pub configuration: ConfigurationSpec,
    desired_state: DesiredState,
}

impl ConfigurationWriter {
    /// Changes the configuration and writes it with a higher version.
    pub fn change(&mut self, change: impl FnOnce(&mut ConfigurationSpec)) {
        change(&mut self.configuration);
        self.configuration.version += 1;
        let json = self.configuration.to_json();
        self.desired_state.write("op/config", json);
    }
}

impl StandInPlatform {
    /// Returns a writer that begins with the current configuration.
    pub fn configuration_writer(&self) -> ConfigurationWriter {
        ConfigurationWriter {
            configuration: self.configuration.clone(),
            desired_state: self.desired_state.clone(),
        }
    }
}
