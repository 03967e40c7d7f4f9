package org.mimosacleat.lab.matrix;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PLUGIN_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PLUGIN_PUBLISH_QUIET_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs all cells of the fault matrix, which the feature files list. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.mimosacleat.lab.matrix")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.mimosacleat.lab.matrix")
@ConfigurationParameter(
    key = PLUGIN_PROPERTY_NAME,
    value = "org.mimosacleat.lab.matrix.MatrixReport")
@ConfigurationParameter(key = PLUGIN_PUBLISH_QUIET_PROPERTY_NAME, value = "true")
class FaultMatrixTest {}
