// Settings of a process: a JSON file and command-line flags of the same names;
// flags take precedence. All errors are reported at once. `--check` only
// validates.
#pragma once

#include "state/layout.hpp"
#include "transport/build_info.hpp"
#include "transport/socket_environment.hpp"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace banktide {

namespace po = boost::program_options;

class Settings {
 public:
  explicit Settings(std::string const& program) : program_(program), options_(program + " options") {
    options_.add_options()("help", "print this and exit")("version", "print the version and exit")(
        "check", "check the settings and exit")("settings", po::value<std::string>(),
                                                "JSON file with the same names as these flags");
    text("log-level", "INFO", "TRACE, DEBUG, INFO, WARN, ERROR or OFF");
  }

  std::string const& program() const { return program_; }
  void text(std::string const& name, std::string const& fallback, std::string const& description) {
    options_.add_options()(
        name.c_str(), fallback.empty() ? po::value<std::string>() : po::value<std::string>()->default_value(fallback),
        description.c_str());
  }
  void list(std::string const& name, std::string const& description) {
    options_.add_options()(name.c_str(), po::value<std::vector<std::string>>()->composing(), description.c_str());
  }
  void number(std::string const& name, std::uint64_t const fallback, std::uint64_t const minimum,
              std::uint64_t const maximum, std::string const& description) {
    options_.add_options()(name.c_str(), po::value<std::uint64_t>()->default_value(fallback), description.c_str());
    ranges_[name] = {minimum, maximum};
  }
  void flag(std::string const& name, std::string const& description) {
    options_.add_options()(name.c_str(), po::value<bool>()->default_value(false)->implicit_value(true)->zero_tokens(),
                           description.c_str());
  }

  // Positional arguments are added to this list.
  void positional_list(std::string const& name) { positional_.add(name.c_str(), -1); }

  // Reads the settings; returns an exit code if the program should exit now.
  std::optional<int> read(int const argc, char const* const* const argv) {
    std::vector<std::string> errors = load(argc, argv);
    if (values_.count("help")) {
      std::cout << options_ << "\n";
      return 0;
    }
    if (values_.count("version")) {
      std::cout << program_ << " " << BANKTIDE_VERSION << " (commit " << source_commit() << ")\n";
      return 0;
    }
    for (std::string const& e : errors) std::cerr << program_ << ": settings: " << e << "\n";
    if (!errors.empty()) return 2;
    if (values_.count("check")) {
      std::cout << program_ << ": settings are good\n";
      return 0;
    }
    return std::nullopt;
  }

  // The names of the settings that differ from `old`.
  std::vector<std::string> changed_from(Settings const& old) const {
    std::vector<std::string> names;
    for (auto const& o : options_.options())
      if (o->long_name() != "settings" && value_text(o->long_name()) != old.value_text(o->long_name()))
        names.push_back(o->long_name());
    return names;
  }

  // Returns all errors; with --help or --version errors are ignored.
  std::vector<std::string> load(int const argc, char const* const* const argv) {
    std::vector<std::string> errors;
    try {
      po::store(po::command_line_parser(argc, argv).options(options_).positional(positional_).run(), values_);
    } catch (po::error const& e) {
      errors.push_back(e.what());
    }
    if (values_.count("help") || values_.count("version")) return {};
    if (values_.count("settings")) read_file(values_["settings"].as<std::string>(), errors);
    po::notify(values_);
    for (auto const& [name, range] : ranges_)
      if (values_.count(name) && (number(name) < range.first || number(name) > range.second))
        errors.push_back(name + ": must be " + std::to_string(range.first) + ".." + std::to_string(range.second));
    if (log4cplus::getLogLevelManager().fromString(text("log-level")) == log4cplus::NOT_SET_LOG_LEVEL)
      errors.push_back("log-level: no such level");
    for (std::function<void(std::vector<std::string>&)> const& check : checks_) check(errors);
    return errors;
  }

  void check(std::function<void(std::vector<std::string>&)> f) { checks_.push_back(std::move(f)); }
  void require_name(std::string const& name) {
    checks_.push_back([this, name](std::vector<std::string>& errors) {
      std::string const v = text(name);
      bool good = !v.empty() && v.size() <= 63;
      for (char const c : v)
        good = good && (std::islower(static_cast<unsigned char>(c)) || std::isdigit(static_cast<unsigned char>(c)) ||
                        c == '-' || c == '.' || c == '_');
      if (!good) errors.push_back(name + ": needed, 1..63 of a-z 0-9 . _ -");
    });
  }
  void require_address(std::string const& name) {
    checks_.push_back([this, name](std::vector<std::string>& errors) {
      if (!parse_address(text(name))) errors.push_back(name + ": needed, as ip:port");
    });
  }
  void require_addresses(std::string const& name, std::size_t const minimum) {
    checks_.push_back([this, name, minimum](std::vector<std::string>& errors) {
      std::vector<std::string> const all = list(name);
      if (all.size() < minimum) errors.push_back(name + ": at least " + std::to_string(minimum) + " needed");
      for (std::string const& a : all)
        if (!parse_address(a)) errors.push_back(name + ": " + a + " is not ip:port");
    });
  }

  std::string text(std::string const& name) const { return values_.count(name) ? values_[name].as<std::string>() : ""; }
  std::uint64_t number(std::string const& name) const { return values_[name].as<std::uint64_t>(); }
  bool flag(std::string const& name) const { return values_[name].as<bool>(); }
  std::vector<std::string> list(std::string const& name) const {
    return values_.count(name) ? values_[name].as<std::vector<std::string>>() : std::vector<std::string>{};
  }

 private:
  std::string value_text(std::string const& name) const {
    if (!values_.count(name)) return "";
    boost::any const& v = values_[name].value();
    if (v.type() == typeid(std::string)) return boost::any_cast<std::string>(v);
    if (v.type() == typeid(std::uint64_t)) return std::to_string(boost::any_cast<std::uint64_t>(v));
    if (v.type() == typeid(bool)) return boost::any_cast<bool>(v) ? "true" : "false";
    std::string out;
    for (std::string const& e : values_[name].as<std::vector<std::string>>()) out += e + " ";
    return out;
  }

  void read_file(std::string const& file, std::vector<std::string>& errors) {
    std::ifstream in(file);
    if (!in) {
      errors.push_back("settings: can't read " + file);
      return;
    }
    std::stringstream all;
    all << in.rdbuf();
    Result<Json> const j = parse_json(all.str());
    if (!j || !j->is_object()) {
      errors.push_back(file + ": " + (j ? "not an object" : j.error().reason));
      return;
    }
    po::parsed_options parsed(&options_);
    for (auto const& [name, v] : j->items()) {
      po::option_description const* const known = options_.find_nothrow(name, false);
      bool const scalar = v.is_string() || v.is_number_unsigned() || v.is_boolean();
      bool strings = v.is_array();
      if (v.is_array())
        for (Json const& e : v) strings = strings && e.is_string();
      if (known == nullptr || name == "settings" || name == "help" || name == "check" || name == "version") {
        errors.push_back(file + ": no setting is named " + name);
        continue;
      }
      if (!scalar && !strings) {
        errors.push_back(file + ": " + name + ": must be a string, a number, true or false, or a list of strings");
        continue;
      }
      if (values_.count(name) && !values_[name].defaulted()) continue;
      po::option o;
      o.string_key = name;
      if (v.is_array())
        o.value = v.get<std::vector<std::string>>();
      else
        o.value = {v.is_string() ? v.get<std::string>() : v.dump()};
      parsed.options.push_back(std::move(o));
    }
    try {
      po::store(parsed, values_);
    } catch (po::error const& e) {
      errors.push_back(file + ": " + e.what());
    }
  }

  std::string const program_;
  po::options_description options_;
  po::positional_options_description positional_;
  po::variables_map values_;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> ranges_;
  std::vector<std::function<void(std::vector<std::string>&)>> checks_;
};

}  // namespace banktide
